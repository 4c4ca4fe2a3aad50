import {fc, testProp} from '@fast-check/ava';
import {type InstanceId, type ServerId} from '@valehitch/core';
import {ServerWorld} from './_test-server-world.js';

const controls = 3;
const entryNumbers = [0, 1];
const serverIds = ['server-1', 'server-2', 'server-3'].map(id => id as ServerId);
/** In this time after the last cut every control instance has told every other one, and each entry instance has asked. */
const convergenceMilliseconds = 3000;

const control = fc.integer({min: 0, max: controls - 1});
const entry = fc.integer({min: 0, max: entryNumbers.length - 1});
const server = fc.constantFrom(...serverIds);
const step = fc.oneof(
	fc.record({type: fc.constant('move' as const), control, server}),
	fc.record({type: fc.constant('announce-late' as const), control, server}),
	fc.record({type: fc.constant('drain' as const), control, server}),
	fc.record({type: fc.constant('end' as const), control, server}),
	fc.record({type: fc.constant('cut-controls' as const), control, other: control}),
	fc.record({type: fc.constant('cut-entry' as const), control, entry}),
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

/** Servers that have run for longer than a minute, and that everybody knows. */
async function startWorld(): Promise<ServerWorld> {
	const world = new ServerWorld({controls, entries: entryNumbers.length, servers: serverIds});
	await world.pass(70_000);
	return world;
}

async function play(world: ServerWorld, next: Step): Promise<void> {
	const at = 'control' in next ? world.controls[next.control]! : '' as InstanceId;
	switch (next.type) {
		case 'move': {
			world.move(next.server, at);
			return;
		}

		case 'announce-late': {
			return world.announce(at, next.server, {isLate: true});
		}

		case 'drain': {
			return world.announce(at, next.server, {state: 'draining'});
		}

		case 'end': {
			return world.end(at, next.server);
		}

		case 'cut-controls': {
			world.cut(at, world.controls[next.other]!);
			return;
		}

		case 'cut-entry': {
			world.cut(at, `entry-${next.entry}`);
			return;
		}

		case 'heal': {
			world.heal();
			return;
		}

		case 'restart': {
			return world.restart(at);
		}

		case 'ask': {
			return world.ask(next.entry, at, {isLate: next.isLate});
		}

		case 'deliver': {
			world.deliverLate();
			return;
		}

		case 'send': {
			world.toggleSend(next.entry, next.server);
			return;
		}

		case 'pass': {
			return world.pass(next.seconds * 1000);
		}
	}
}

/** The servers that an entry instance may choose though it was told that they leave. */
function takenBack(world: ServerWorld): readonly ServerId[] {
	return serverIds.filter(server => entryNumbers.some(index => world.wasTold(index, server) && world.mayChoose(index, server)));
}

testProp('an entry instance that was told that a server leaves never chooses it again', [fc.array(step, {minLength: 5, maxLength: 40})], async (t, steps) => {
	const world = await startWorld();
	for (const next of steps) {
		await play(world, next);
		t.deepEqual(takenBack(world), []);
	}

	world.stop();
}, {numRuns: 200, seed: 1});

testProp('once cuts are over, nobody chooses a server that has left, nor does an entry instance that starts then', [fc.array(step, {minLength: 5, maxLength: 40})], async (t, steps) => {
	const world = await startWorld();
	for (const next of steps) {
		await play(world, next);
	}

	world.deliverLate();
	world.heal();
	await world.pass(convergenceMilliseconds);
	const started = world.addEntry();
	await world.askAll();
	const chosen = [...world.left.keys()].filter(server => [...entryNumbers, started].some(index => world.mayChoose(index, server)));
	t.deepEqual(chosen, []);
	world.stop();
}, {numRuns: 200, seed: 1});
