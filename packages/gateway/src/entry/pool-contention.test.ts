import {type ServiceId, toId} from '@valehitch/core';
import {type PoolPicture} from '@valehitch/routing';
import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {poolContention} from './pool-contention.js';

const {service} = testServer();
const table = {findModelTarget: () => 1500};
const availability = {availableOf: (id: ServiceId) => id === service ? [testServer().id] : []};

function pictureOf(age: number): PoolPicture {
	return {age, workAt: () => ({reading: 300, streams: 1, slowness: 2}), heldByOthers: []};
}

test('the wait is that of the servers of the service', t => {
	t.deepEqual(poolContention(service, {picture: pictureOf(100), table, availability}), {wait: 600, target: 1500});
	t.is(poolContention(toId<ServiceId>('another'), {picture: pictureOf(100), table, availability}).wait, 0);
});

test('without a known load or a configuration there is no wait and no bound', t => {
	t.deepEqual(poolContention(service, {picture: pictureOf(Number.POSITIVE_INFINITY), table: undefined, availability}), {wait: 0, target: Number.POSITIVE_INFINITY});
});
