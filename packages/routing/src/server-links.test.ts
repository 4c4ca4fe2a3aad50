import {setImmediate} from 'node:timers/promises';
import {type ServerId, type ServiceId} from '@valehitch/core';
import test from 'ava';
import {ServerLinks} from './server-links.js';

const [labels, records] = ['labels', 'records'] as ServiceId[];
const servers = [labels!, records!].flatMap(service => ['1', '2', '3', '4'].map(name => ({id: `${service}-${name}` as ServerId, service})));

function ignore(): void {
	// The event is not under test.
}

test('an instance that reaches one service is cut off from another one, whatever connections to the first succeed', async t => {
	const counts: number[] = [];
	const tried = new Set<ServiceId>();
	const links = new ServerLinks({
		clock: {monotonic: () => 0},
		random: () => 0.5,
		servers: () => servers,
		async isReachable({service}) {
			tried.add(service);
			return service === records;
		},
		wait: async () => setImmediate(),
		onCutOff: ignore,
		onReachable: ignore,
		onCount(count) {
			counts.push(count);
		},
	});
	t.teardown(() => {
		links.stop();
	});
	for (const {id} of servers.slice(0, 2)) {
		links.of(labels!).recordUnreachable(id);
		links.of(records!).recordConnected();
	}

	while (!links.isCutOff) {
		await setImmediate();
	}

	t.true(links.of(labels!).isCutOff);
	t.true(links.of(records!).areConnected);
	t.deepEqual(tried, new Set([labels!]));
	t.is(counts.at(-1), 2);
	links.of(labels!).recordConnected();
	t.false(links.isCutOff);
	t.is(counts.at(-1), 0);
});
