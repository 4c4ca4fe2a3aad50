import {setImmediate} from 'node:timers/promises';
import {type ServerId, type ServiceId} from '@valehitch/core';
import test from 'ava';
import {ServiceLinks, type ServiceLinksOptions} from './service-links.js';

const ids = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'] as ServerId[];
const service = 'labels' as ServiceId;

function ignore(): void {
	// The promise stays pending.
}

function createLinks(changes: Partial<ServiceLinksOptions>) {
	const lines: Array<readonly [string, number]> = [];
	const clock = {now: 1000, monotonic: () => clock.now};
	const tried: ServerId[] = [];
	const state = {isReachable: false, cuts: 0};
	const links = new ServiceLinks({
		clock,
		random: () => 0.5,
		servers: () => ids.map(id => ({id, service})),
		async isReachable({id}) {
			tried.push(id);
			return state.isReachable;
		},
		async wait(milliseconds) {
			clock.now += milliseconds;
			await setImmediate();
		},
		onCutOff({servers}) {
			state.cuts++;
			lines.push(['unreachable', servers.length]);
		},
		onReachable({servers}) {
			lines.push(['reachable', servers.length]);
		},
		...changes,
	});
	return {
		links, lines, clock, tried, state,
	};
}

async function pass(isDone: () => boolean): Promise<void> {
	while (!isDone()) {
		await setImmediate();
	}
}

test('an instance is cut off when trial connections to other servers fail too, until one of them succeeds', async t => {
	const {links, lines, clock, tried, state} = createLinks({});
	links.recordUnreachable(ids[0]!);
	clock.now += 50;
	links.recordUnreachable(ids[1]!);
	t.false(links.areConnected);
	t.false(links.isCutOff);
	await pass(() => links.isCutOff);
	t.deepEqual(tried.slice(0, 3), ids.slice(2, 5));
	t.is(state.cuts, 1);

	state.isReachable = true;
	await pass(() => links.areConnected);
	t.is(state.cuts, 1);
	t.deepEqual(lines, [['unreachable', 2], ['reachable', 2]]);
});

test('an instance whose trial connection succeeds is not cut off', async t => {
	const {links, lines, state} = createLinks({});
	state.isReachable = true;
	links.recordUnreachable(ids[0]!);
	links.recordUnreachable(ids[1]!);
	await pass(() => links.areConnected);
	t.deepEqual(lines, []);
	t.is(state.cuts, 0);
});

test('a suspicion ends with the first trial connection that succeeds, while others hang', async t => {
	const {links} = createLinks({
		isReachable: async ({id}) => id === ids[3] || new Promise<boolean>(ignore),
	});
	links.recordUnreachable(ids[0]!);
	links.recordUnreachable(ids[1]!);
	for (let turn = 0; turn < 5; turn++) {
		await setImmediate();
	}

	t.true(links.areConnected);
});

test('a suspicion that begins while the trials of the former one wait does not double them', async t => {
	const wakes: Array<() => void> = [];
	const {links, tried} = createLinks({
		wait: async () => new Promise<void>(resolve => {
			wakes.push(resolve);
		}),
	});
	for (let suspicion = 1; suspicion <= 2; suspicion++) {
		links.recordUnreachable(ids[0]!);
		links.recordUnreachable(ids[1]!);
		await pass(() => wakes.length === suspicion);
		links.recordConnected();
	}

	links.recordUnreachable(ids[0]!);
	links.recordUnreachable(ids[1]!);
	await pass(() => wakes.length === 3);
	const before = tried.length;
	for (const wake of wakes.splice(0)) {
		wake();
	}

	await pass(() => wakes.length > 0);
	await setImmediate();
	t.is(tried.length - before, 3);
	links.stop();
});

test('trials end with the instance', async t => {
	const {links, tried} = createLinks({});
	links.recordUnreachable(ids[0]!);
	links.recordUnreachable(ids[1]!);
	links.stop();
	await setImmediate();
	await setImmediate();
	const before = tried.length;
	await setImmediate();
	t.is(tried.length, before);
});
