import {type ServerId, toId} from '@valehitch/core';
import {type PoolPicture, type ServerWork} from '@valehitch/routing';
import test from 'ava';
import {extendHeadTimeouts} from './extend-head-timeouts.js';

const server = toId<ServerId>('server-1');
const short = {checkAfter: 500, maximum: 500, maximumOnReused: 500};

function pictureOf(work: ServerWork | undefined, age = 100): PoolPicture {
	return {age, workAt: () => work, heldByOthers: []};
}

test('a short prompt behind long ones is not sent again before they are processed', t => {
	const busy = pictureOf({reading: 900, streams: 3, slowness: 2});
	t.deepEqual(extendHeadTimeouts(short, {server, picture: busy, targetLatency: 1500}), {checkAfter: 500, maximum: 4350, maximumOnReused: 4350});
});

test('a server at which nothing waits may take half of the target', t => {
	const idle = pictureOf({reading: 0, streams: 0, slowness: 1});
	t.deepEqual(extendHeadTimeouts(short, {server, picture: idle, targetLatency: 1500}), {checkAfter: 500, maximum: 750, maximumOnReused: 750});
	const long = {checkAfter: 500, maximum: 4000, maximumOnReused: 2000};
	t.deepEqual(extendHeadTimeouts(long, {server, picture: idle, targetLatency: 1500}), long);
});

test('without a picture of the pool the timeouts are as they were', t => {
	t.is(extendHeadTimeouts(short, {server, picture: pictureOf(undefined, Number.POSITIVE_INFINITY), targetLatency: 1500}), short);
});
