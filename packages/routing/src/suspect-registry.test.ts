import {type PromptPartFingerprint, type RequestFingerprint} from '@valehitch/core';
import test from 'ava';
import {promptPartFingerprint} from './prompt-part-fingerprint.js';
import {SuspectRegistry} from './suspect-registry.js';

const fingerprint = 'f1' as RequestFingerprint;
const start = 1_700_000_000_000;
const minute = 60_000;
const firstPart = promptPartFingerprint('f1');
const badPart = promptPartFingerprint('bad');

/** Creates a registry with the exits of the given processes during one request, a second apart. */
function registryWith(processes: readonly string[], registry = new SuspectRegistry()): SuspectRegistry {
	for (const [index, process] of processes.entries()) {
		registry.recordExit(fingerprint, {process, at: start + (index * 1000)});
	}

	return registry;
}

test('a request is quarantined after three processes exited during it, each counted once', t => {
	const standings = [[], ['a'], ['a', 'a'], ['a', 'b'], ['a', 'b', 'a'], ['a', 'b', 'c']].map(processes => registryWith(processes).status(fingerprint, start + minute));
	t.deepEqual(standings, ['unknown', 'suspect', 'suspect', 'doubtful', 'doubtful', 'quarantined']);
	t.is(registryWith(['a', 'b', 'c']).status('f2' as RequestFingerprint, start), 'unknown');
});

test('a complete answer clears the exits before it, but none after it', t => {
	const registry = registryWith(['a', 'b', 'c']);
	t.true(registry.clear(fingerprint));
	t.false(registry.clear(fingerprint));
	t.is(registry.status(fingerprint, start + minute), 'unknown');
	registry.recordExit(fingerprint, {process: 'd', at: start + minute});
	t.is(registry.status(fingerprint, start + minute), 'suspect');
	t.false(registry.clear('f2' as RequestFingerprint));
});

test('registries converge by merging in any order and any number of times', t => {
	const one = registryWith(['a', 'b']);
	const other = registryWith(['b', 'c']);
	other.clear(fingerprint);
	const third = registryWith(['d']);
	const [forward, backward] = [new SuspectRegistry(), new SuspectRegistry()];
	for (const {records} of [one, other, third, one]) {
		forward.merge(records);
	}

	for (const {records} of [third, one, one, other]) {
		backward.merge(records);
	}

	const ends = (registry: SuspectRegistry) => registry.get(fingerprint)?.ends.map(({process, isCleared}) => `${process} ${isCleared}`).toSorted();
	t.deepEqual(ends(forward), ['a false', 'b true', 'c true', 'd false']);
	t.deepEqual(ends(backward), ends(forward));
	t.deepEqual(forward.merge(backward.records), []);
});

test('a record is shared from two exits on, with all its later changes', t => {
	const registry = registryWith(['a']);
	t.deepEqual(registry.sharedRecords, []);
	registryWith(['b'], registry);
	const {cursor} = registry;
	t.deepEqual(registry.sharedRecords.map(({ends}) => ends.length), [2]);
	t.deepEqual(registry.changedSince(cursor), []);
	registry.clear(fingerprint);
	t.deepEqual(registry.changedSince(cursor).map(({ends}) => ends.every(({isCleared}) => isCleared)), [true]);
});

test('a record that was cleared before it was restored is shared', t => {
	const cleared = new SuspectRegistry();
	for (const process of ['a', 'b', 'c']) {
		cleared.recordExit(fingerprint, {process, at: 0});
	}

	const other = new SuspectRegistry();
	other.merge(cleared.records);
	cleared.clear(fingerprint);
	const restored = new SuspectRegistry();
	restored.merge(cleared.records);
	other.merge(restored.sharedRecords);
	t.is(other.status(fingerprint, 0), 'unknown');
});

test('a quarantine ends after ten minutes, and one more exit within the hour starts another', t => {
	const registry = registryWith(['a', 'b', 'c', 'd']);
	t.is(registry.status(fingerprint, start + (9 * minute)), 'quarantined');
	t.is(registry.status(fingerprint, start + (11 * minute)), 'doubtful');
	registry.recordExit(fingerprint, {process: 'e', at: start + (11 * minute)});
	t.is(registry.status(fingerprint, start + (11 * minute)), 'quarantined');
	t.is(registry.status(fingerprint, start + (22 * minute)), 'doubtful');
	t.is(registry.status(fingerprint, start + (72 * minute)), 'unknown');
	registry.deleteExpired(start + (72 * minute));
	t.true(registry.isEmpty);
});

test('many new suspects do not evict a quarantined request', t => {
	const registry = registryWith(['a', 'b', 'c'], new SuspectRegistry({capacity: 8}));
	for (let index = 0; index < 100; index++) {
		registry.recordExit(`other ${index}` as RequestFingerprint, {process: `p${index}`, at: start + minute});
	}

	t.is(registry.records.length, 8);
	t.is(registry.status(fingerprint, start + minute), 'quarantined');
});

type PartExits = {
	readonly part: PromptPartFingerprint;
	readonly depth?: number;
	readonly processes: readonly string[];
	/** The time between the exits, in milliseconds; 500 by default. */
	readonly spacing?: number;
};

/** Records exits during requests with a part. */
function recordPartExits(registry: SuspectRegistry, {part, depth = 1, processes, spacing = 500}: PartExits): void {
	for (const [index, process] of processes.entries()) {
		registry.recordExit(part, {process, at: start + (index * spacing), depth});
	}
}

test('a part of prompts is quarantined after exits at three times, whatever requests contained it', t => {
	const registry = new SuspectRegistry();
	const standings = ['a', 'b', 'c'].map((process, index) => {
		const at = start + (index * 500);
		registry.recordExit(badPart, {process, at, depth: 1});
		registry.recordExit(`request ${index}` as RequestFingerprint, {process, at, parts: [firstPart, badPart]});
		return registry.status(badPart, at + 200);
	});
	t.deepEqual(standings, ['suspect', 'doubtful', 'quarantined']);
	t.is(registry.status('request 0' as RequestFingerprint, start + minute), 'unknown');
	t.deepEqual([...registry.quarantined(start + minute)], [badPart]);
});

test('the simultaneous exit of many servers quarantines no part', t => {
	const registry = new SuspectRegistry();
	recordPartExits(registry, {part: firstPart, processes: ['a', 'b', 'c', 'd', 'e', 'f'], spacing: 10});
	t.is(registry.status(firstPart, start + minute), 'suspect');
});

test('a part is not quarantined before other instances had time to report what they found', t => {
	const registry = new SuspectRegistry();
	recordPartExits(registry, {part: badPart, processes: ['a', 'b', 'c']});
	t.is(registry.status(badPart, start + 1100), 'doubtful');
	t.is(registry.status(badPart, start + 1200), 'quarantined');
});

test('a request beside a crashing part is not quarantined for the exits that the part explains', t => {
	const registry = registryWith(['a', 'b', 'c']);
	recordPartExits(registry, {part: badPart, processes: ['a', 'b', 'c'], spacing: 1000});
	t.is(registry.status(fingerprint, start + 2000), 'doubtful');
	t.is(registry.status(fingerprint, start + minute), 'unknown');
	t.is(registry.status(badPart, start + minute), 'quarantined');
});

test('a request that crashes servers is quarantined in place of the parts of its prompt, until they are seen without it', t => {
	const registry = new SuspectRegistry();
	for (const [index, process] of ['a', 'b', 'c'].entries()) {
		registry.recordExit(fingerprint, {process, at: start + (index * 500), parts: [firstPart, badPart]});
	}

	recordPartExits(registry, {part: badPart, processes: ['a', 'b', 'c']});
	t.deepEqual([...registry.quarantined(start + minute)], [fingerprint]);
	registry.recordExit(badPart, {process: 'd', at: start + 2000, depth: 1});
	t.deepEqual([...registry.quarantined(start + minute)], [badPart]);
});

/** Records exits during a request, each named by its process, at a time in milliseconds after the start. */
function recordRequestExits(registry: SuspectRegistry, request: string, exits: Readonly<Record<string, number>>): RequestFingerprint {
	const requestFingerprint = request as RequestFingerprint;
	for (const [process, after] of Object.entries(exits)) {
		registry.recordExit(requestFingerprint, {process, at: start + after, parts: []});
	}

	return requestFingerprint;
}

/** Records exits during requests with a part, each named by its process, at a time in milliseconds after the start. */
function recordExitsWithPart(registry: SuspectRegistry, part: PromptPartFingerprint, exits: Readonly<Record<string, number>>): void {
	for (const [process, after] of Object.entries(exits)) {
		registry.recordExit(part, {process, at: start + after, depth: 1});
	}
}

test('a crashing request stays quarantined when a part that was beside it is beside another crashing request', t => {
	const registry = new SuspectRegistry();
	const crashing = recordRequestExits(registry, 'crashing', {a: 0, b: 50, c: 100});
	recordRequestExits(registry, 'other', {d: 3000});
	recordExitsWithPart(registry, badPart, {b: 50, c: 100, d: 3000});
	t.deepEqual([...registry.quarantined(start + 3200)], [crashing]);
	recordExitsWithPart(registry, badPart, {e: 3200});
	t.true(registry.quarantined(start + 3400).has(crashing));
});

test('a second crashing request is quarantined after three exits though a part was beside it and the first one', t => {
	const registry = new SuspectRegistry();
	const first = recordRequestExits(registry, 'first', {a: 0, b: 50, c: 100});
	const second = recordRequestExits(registry, 'second', {d: 3000, e: 3200, f: 3400});
	recordExitsWithPart(registry, badPart, {
		c: 100, d: 3000, e: 3200, f: 3400,
	});
	t.deepEqual([...registry.quarantined(start + minute)].toSorted(), [first, second]);
});

test('a request that was beside two crashing ones is not quarantined', t => {
	const registry = new SuspectRegistry();
	const first = recordRequestExits(registry, 'first', {a: 0, b: 50, c: 100});
	const beside = recordRequestExits(registry, 'beside', {b: 50, c: 100, d: 3000});
	t.not(registry.status(beside, start + 3000), 'quarantined');
	const second = recordRequestExits(registry, 'second', {d: 3000, e: 3200, f: 3400});
	t.deepEqual([...registry.quarantined(start + minute)].toSorted(), [first, second]);
});

test('a crashing request is quarantined though one beside it was proven first', t => {
	const registry = new SuspectRegistry();
	recordRequestExits(registry, 'beside', {a: 0, b: 500, c: 1000});
	const crashing = recordRequestExits(registry, 'crashing', {
		a: 0, b: 500, d: 2000, e: 2500,
	});
	t.is(registry.status(crashing, start + 3000), 'quarantined');
});

test('a part keeps its depth and a request its parts when records are merged', t => {
	const [registry, other] = [new SuspectRegistry(), new SuspectRegistry()];
	recordPartExits(registry, {part: badPart, depth: 2, processes: ['a', 'b']});
	registry.recordExit(fingerprint, {process: 'a', at: start, parts: [badPart]});
	other.recordExit(badPart, {process: 'c', at: start});
	other.merge(registry.records);
	t.is(other.get(badPart)?.depth, 2);
	t.deepEqual(other.get(fingerprint)?.parts, [badPart]);
});

test('the number of exits per request is limited to the latest ones', t => {
	const registry = registryWith(Array.from({length: 40}, (_, index) => `p${index}`));
	t.is(registry.get(fingerprint)?.ends.length, 8);
	t.is(registry.get(fingerprint)?.ends.at(-1)?.process, 'p39');
	t.false(registry.recordExit(fingerprint, {process: 'p0', at: start}));
});

/** Returns a deterministic generator of numbers from 0 to 1 (Park and Miller, 1988). */
function seededRandom(): () => number {
	let state = 1;
	return () => {
		state = state * 48_271 % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

/** The largest number of requests that were in progress on a server at its exit, in a deployment of 18 engines. */
const requestsPerServer = 18;

/** Returns the share of the innocent requests beside a crashing one that are quarantined with it, over many simulated crashing requests. Each request is retried on a random server while its servers exit. */
function innocentQuarantinedShare(servers: number): number {
	const random = seededRandom();
	const waves = 2000;
	let quarantined = 0;
	for (let wave = 0; wave < waves; wave++) {
		const registry = new SuspectRegistry();
		let innocent = Array.from({length: requestsPerServer}, (_, index) => `innocent ${index}` as RequestFingerprint);
		for (let exit = 0; exit < 3; exit++) {
			const crashingAt = Math.floor(random() * servers);
			// All of them are on the first server; those that are retried on another server than the crashing request are answered there.
			innocent = innocent.filter(() => exit === 0 || Math.floor(random() * servers) === crashingAt);
			for (const known of [fingerprint, ...innocent]) {
				registry.recordExit(known, {process: `${exit}`, at: start});
			}
		}

		quarantined += registry.records.filter(record => record.fingerprint !== fingerprint && registry.status(record.fingerprint, start) === 'quarantined').length;
	}

	return quarantined / (waves * requestsPerServer);
}

for (const {instances, servers} of [{instances: 7, servers: 18}, {instances: 195, servers: 600}]) {
	test(`with ${instances} instances and ${servers} servers, less than 1 % of the requests beside a crashing one are quarantined with it`, t => {
		t.true(innocentQuarantinedShare(servers) < 0.01);
	});

	test(`with ${instances} instances and ${servers} servers, the simultaneous exit of a zone of servers quarantines no request and shares no record`, t => {
		const registry = new SuspectRegistry({capacity: servers * requestsPerServer});
		for (let server = 0; server < servers / 3; server++) {
			for (let request = 0; request < requestsPerServer; request++) {
				registry.recordExit(`${server} ${request}` as RequestFingerprint, {process: `${server}`, at: start});
			}
		}

		t.true(registry.records.every(record => registry.status(record.fingerprint, start) === 'suspect'));
		t.deepEqual(registry.sharedRecords, []);
	});
}

// Copies of one request in progress on several servers of a zone that fails can quarantine it by chance.
test('an identical request from many callers stays quarantined only until one server has answered it', t => {
	const registry = registryWith(['a', 'b', 'c', 'd']);
	t.is(registry.status(fingerprint, start), 'quarantined');
	registry.clear(fingerprint);
	t.is(registry.status(fingerprint, start), 'unknown');
});
