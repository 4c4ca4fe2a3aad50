import {type ServerId, toId} from '@valehitch/core';
import {type PoolPicture, type ServerWork} from '@valehitch/routing';
import test from 'ava';
import {extendPatience} from './extend-patience.js';

const server = toId<ServerId>('server-1');
const short = {lateAfter: 500, patience: 500, patienceOnReused: 500};

function pictureOf(work: ServerWork | undefined, age = 100): PoolPicture {
	return {age, workAt: () => work, heldByOthers: []};
}

test('a short prompt behind long ones is not sent again before they are processed', t => {
	const busy = pictureOf({reading: 900, streams: 3, slowness: 2});
	t.deepEqual(extendPatience(short, {server, picture: busy, targetLatency: 1500}), {lateAfter: 4350, patience: 4350, patienceOnReused: 4350});
});

test('a server at which nothing waits may take half of the target', t => {
	const idle = pictureOf({reading: 0, streams: 0, slowness: 1});
	t.deepEqual(extendPatience(short, {server, picture: idle, targetLatency: 1500}), {lateAfter: 750, patience: 750, patienceOnReused: 750});
	const long = {lateAfter: 2000, patience: 4000, patienceOnReused: 2000};
	t.deepEqual(extendPatience(long, {server, picture: idle, targetLatency: 1500}), long);
});

test('without a picture of the pool the timeouts are as they were', t => {
	t.is(extendPatience(short, {server, picture: pictureOf(undefined, Number.POSITIVE_INFINITY), targetLatency: 1500}), short);
});
