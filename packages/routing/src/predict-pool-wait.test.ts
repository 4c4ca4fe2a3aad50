import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {type PoolPicture} from './pool-picture.js';
import {predictPoolWait} from './predict-pool-wait.js';

const servers = ['fast', 'slow', 'unknown'] as ServerId[];
const works = new Map([
	['fast' as ServerId, {reading: 100, streams: 3, slowness: 1}],
	['slow' as ServerId, {reading: 200, streams: 3, slowness: 2}],
]);
const picture: PoolPicture = {age: 200, workAt: server => works.get(server), heldByOthers: []};

test('the wait is the mean over the known servers, each with its speed', t => {
	t.is(predictPoolWait(picture, servers), 250);
});

test('no wait is predicted without a recent picture of the servers', t => {
	t.is(predictPoolWait(undefined, servers), 0);
	t.is(predictPoolWait({...picture, age: Number.POSITIVE_INFINITY}, servers), 0);
	t.is(predictPoolWait(picture, ['unknown' as ServerId]), 0);
	t.is(predictPoolWait(picture, []), 0);
});
