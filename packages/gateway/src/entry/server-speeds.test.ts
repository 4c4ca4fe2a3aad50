import {type ServerId, toId} from '@valehitch/core';
import {type SpeedSample} from '@valehitch/routing';
import test from 'ava';
import {ServerSpeeds} from './server-speeds.js';

const fast = toId<ServerId>('server-1');
const slow = toId<ServerId>('server-2');
const unknown = toId<ServerId>('server-3');
const both = [fast, slow];

test('without reports of all instances no server has a speed, and none is estimated', t => {
	const speeds = new ServerSpeeds({});
	speeds.record(fast, {observed: 900, expected: 100, now: 0});
	t.is(speeds.speedsOf(both, 0).size, 0);
	t.is(speeds.expectedFirstEvent(fast, 100), undefined);
});

test('speeds are relative to the mean of the servers of a service', t => {
	const slownesses = new Map([[fast, 2], [slow, 6]]);
	const speeds = new ServerSpeeds({slownessOf: server => slownesses.get(server)}).speedsOf([...both, unknown], 0);
	t.deepEqual([speeds.get(fast)?.speed, speeds.get(slow)?.speed, speeds.get(unknown)], [1.5, 0.5, undefined]);
});

test('a slowness that cannot be right is ignored', t => {
	const slownesses = new Map([[fast, Number.NaN], [slow, 0], [unknown, Infinity]]);
	const speeds = new ServerSpeeds({slownessOf: server => slownesses.get(server)});
	t.is(speeds.speedsOf([...both, unknown], 0).size, 0);
});

test('the expected time counts what waits at the server, but not its slowness', t => {
	const speeds = new ServerSpeeds({workAt: () => ({reading: 250, streams: 2, slowness: 3})});
	t.is(speeds.expectedFirstEvent(fast, 100), 350);
});

test('samples are reported, and a server that has restarted has no speed until it is told', t => {
	const reported: Array<[ServerId, SpeedSample]> = [];
	const slownesses = new Map([[fast, 1], [slow, 3]]);
	const speeds = new ServerSpeeds({
		slownessOf: server => slownesses.get(server),
		recordSample(server, sample) {
			reported.push([server, sample]);
		},
	});
	speeds.speedsOf(both, 0);
	speeds.record(slow, {observed: 300, expected: 100, now: 10});
	t.deepEqual(reported, [[slow, {observed: 300, expected: 100}]]);
	slownesses.delete(slow);
	t.true(speeds.speedsOf(both, 100).has(slow));
	speeds.forget(slow);
	t.false(speeds.speedsOf(both, 200).has(slow));
});
