import {fc, testProp} from '@fast-check/ava';
import {type InstanceId, type ServerId} from '@valehitch/core';
import {ServerSimulation} from './_test-server-simulation.js';

const controls = 3;
const entryNumbers = [0, 1];
const serverIds = ['server-1', 'server-2', 'server-3'].map(id => id as ServerId);
/** Within this time after the last partition has healed, every control instance has synchronized with every other, and each entry instance has polled. */
const convergenceMilliseconds = 3000;

const control = fc.integer({min: 0, max: controls - 1});
const entry = fc.integer({min: 0, max: entryNumbers.length - 1});
const server = fc.constantFrom(...serverIds);
const step = fc.oneof(
	fc.record({type: fc.constant('move' as const), control, server}),
	fc.record({type: fc.constant('announce-late' as const), control, server}),
	fc.record({type: fc.constant('drain' as const), control, server}),
	fc.record({type: fc.constant('end' as const), control, server}),
	fc.record({type: fc.constant('partition-controls' as const), control, other: control}),
	fc.record({type: fc.constant('partition-entry' as const), control, entry}),
	fc.record({type: fc.constant('heal' as const)}),
	fc.record({type: fc.constant('restart' as const), control}),
	fc.record({
		type: fc.constant('ask' as const), control, entry, isLate: fc.boolean(),
	}),
	fc.record({type: fc.constant('deliver' as const)}),
	fc.record({type: fc.constant('send' as const), entry, server}),
	fc.record({type: fc.constant('pass' as const), seconds: fc.integer({min: 1, max: 9})}),
	fc.record({type: fc.constant('pass' as const), seconds: fc.constantFrom(70, 200)}),
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** Starts a simulation whose servers have run for more than a minute and are known to all instances. */
async function startSimulation(): Promise<ServerSimulation> {
	const simulation = new ServerSimulation({controls, entries: entryNumbers.length, servers: serverIds});
	await simulation.advance(70_000);
	return simulation;
}

async function runStep(simulation: ServerSimulation, next: Step): Promise<void> {
	const at = 'control' in next ? simulation.controls[next.control]! : '' as InstanceId;
	switch (next.type) {
		case 'move': {
			simulation.move(next.server, at);
			return;
		}

		case 'announce-late': {
			return simulation.announce(at, next.server, {isLate: true});
		}

		case 'drain': {
			return simulation.announce(at, next.server, {state: 'draining'});
		}

		case 'end': {
			return simulation.end(at, next.server);
		}

		case 'partition-controls': {
			simulation.partition(at, simulation.controls[next.other]!);
			return;
		}

		case 'partition-entry': {
			simulation.partition(at, `entry-${next.entry}`);
			return;
		}

		case 'heal': {
			simulation.heal();
			return;
		}

		case 'restart': {
			return simulation.restart(at);
		}

		case 'ask': {
			return simulation.poll(next.entry, at, {isLate: next.isLate});
		}

		case 'deliver': {
			simulation.deliverDelayed();
			return;
		}

		case 'send': {
			simulation.toggleRequest(next.entry, next.server);
			return;
		}

		case 'pass': {
			return simulation.advance(next.seconds * 1000);
		}
	}
}

/** The servers that an entry instance can select although it was notified that they are stopping. */
function reselectedServers(simulation: ServerSimulation): readonly ServerId[] {
	return serverIds.filter(server => entryNumbers.some(index => simulation.wasNotified(index, server) && simulation.canSelect(index, server)));
}

testProp('an entry instance that was notified that a server is stopping never selects it again', [fc.array(step, {minLength: 5, maxLength: 40})], async (t, steps) => {
	const simulation = await startSimulation();
	for (const next of steps) {
		await runStep(simulation, next);
		t.deepEqual(reselectedServers(simulation), []);
	}

	simulation.stop();
}, {numRuns: 200, seed: 1});

testProp('after partitions have healed, no entry instance selects a stopped server, including one that starts afterwards', [fc.array(step, {minLength: 5, maxLength: 40})], async (t, steps) => {
	const simulation = await startSimulation();
	for (const next of steps) {
		await runStep(simulation, next);
	}

	simulation.deliverDelayed();
	simulation.heal();
	await simulation.advance(convergenceMilliseconds);
	const started = simulation.addEntry();
	await simulation.pollAll();
	const chosen = [...simulation.departures.keys()].filter(server => [...entryNumbers, started].some(index => simulation.canSelect(index, server)));
	t.deepEqual(chosen, []);
	simulation.stop();
}, {numRuns: 200, seed: 1});
