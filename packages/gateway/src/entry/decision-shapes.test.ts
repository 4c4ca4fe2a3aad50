import {
	type InstanceId, type ModelId, type ServerId, type ServiceId, type ZoneId,
} from '@valehitch/core';
import {chooseHomeScope} from '@valehitch/routing';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {type SendResult} from './entry-servers-options.js';
import {EntryServers} from './entry-servers.js';
import {LatencyBook} from './latency-book.js';
import {ModelSteps} from './model-steps.js';
import {RepeatBook} from './repeat-book.js';

/** Deployments of other shapes than those that the thresholds were measured on: each decision must still be a sensible one. */

const control = 'control-1' as InstanceId;
const clock = {monotonic: () => 0};
const now = 1000;
const ownZone = 'hall-a' as ZoneId;
const otherZone = 'hall-b' as ZoneId;

type Shape = {
	readonly zones: readonly ZoneId[];
	readonly servers: number;
};

function ignore(): void {
	// Nobody is told.
}

function idOf(index: number): ServerId {
	return `server-${index}` as ServerId;
}

/** The same numbers each time, from 0 to 1 (Park and Miller, 1988). */
function repeatedRandom(): () => number {
	let state = 1;
	return () => {
		state = state * 48_271 % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

/** The servers of a shape, dealt out over its zones in turn. */
function serversOf({zones, servers}: Shape): EntryServers {
	const held = new EntryServers({
		zone: ownZone, random: repeatedRandom(), share: {othersOn: () => 0, noteChange: ignore, forget: ignore}, onReplaced: ignore,
	});
	const records = Array.from({length: servers}, (_, index) => testServer({id: idOf(index), zone: zones[index % zones.length]!}));
	held.take(records, {source: control, now});
	return held;
}

function choose(held: EntryServers, subject?: string): ServerId | undefined {
	const found = held.find({
		service: testServer().service, isWanted: () => true, excluded: new Set(), now,
		subject: subject === undefined ? undefined : {name: subject, homeScope: 'all'},
	});
	return found?.id;
}

function modelsOf(count: number): readonly ModelId[] {
	return Array.from({length: count}, (_, index) => `model-${index}` as ModelId);
}

function stepsOf(sizes: readonly ModelId[], tokens = 0): ModelSteps {
	const route = testRoute({kind: 'streaming', targetLatency: 3000, sizes});
	return new ModelSteps({latencies: new LatencyBook(clock), bounds: {leastConfidence: 50}}, {route, choosesModel: true, tokens});
}

for (const result of ['failed', 'unreachable'] as const satisfies readonly SendResult[]) {
	test(`a service of one server keeps it, however often it is ${result}`, t => {
		const held = serversOf({zones: [ownZone], servers: 1});
		for (let send = 0; send < 50; send++) {
			held.record(idOf(0), result, now);
		}

		t.is(choose(held), idOf(0));
		t.is(choose(held, 'wagon-7'), idOf(0));
	});
}

test('of two zones, the other one is passed over once it cannot be reached, and helps again where nothing else is left', t => {
	const held = serversOf({zones: [ownZone, otherZone], servers: 8});
	held.record(idOf(1), 'unreachable', now);
	held.record(idOf(3), 'unreachable', now);
	for (let draw = 0; draw < 100; draw++) {
		t.is(Number(choose(held, `wagon-${draw}`)?.slice('server-'.length)) % 2, 0, 'a server of the other zone was chosen');
	}

	for (const own of [0, 2, 4, 6]) {
		held.record(idOf(own), 'gone', now);
	}

	t.not(choose(held), undefined);
});

test('an instance whose own zone has no server sends to the others', t => {
	t.not(choose(serversOf({zones: [otherZone], servers: 3})), undefined);
});

test('work without a prompt is dealt out over all servers, one to a hundred', t => {
	for (const servers of [1, 2, 100]) {
		const held = serversOf({zones: [ownZone], servers});
		const loads = new Map<ServerId, number>();
		for (let request = 0; request < 10 * servers; request++) {
			const server = choose(held)!;
			held.begin(server, 1);
			loads.set(server, (loads.get(server) ?? 0) + 1);
		}

		t.is(loads.size, servers);
		t.true(Math.max(...loads.values()) <= 15, `Got ${Math.max(...loads.values())} of ${10 * servers} requests on one of ${servers} servers`);
	}
});

test('with one model there is nothing to step to, also where it is not sure', t => {
	const steps = stepsOf(modelsOf(1));
	t.is(steps.current, 'model-0' as ModelId);
	t.is(steps.larger({confidence: 0, latency: 100, age: 100}), undefined);
});

test('of 40 models an unsure answer steps from the smallest to the largest, and no further', t => {
	const steps = stepsOf(modelsOf(40));
	t.is(steps.larger({confidence: 10, latency: 100, age: 100}), 'model-39' as ModelId);
	steps.take('model-39' as ModelId);
	t.is(steps.larger({confidence: 10, latency: 100, age: 200}), undefined);
});

test('a route without models, and a model that tells no confidence, never step', t => {
	const without = stepsOf([]);
	t.is(without.current, undefined);
	t.is(without.work, 1);
	t.is(without.larger({confidence: 10, latency: 100, age: 100}), undefined);
	t.is(stepsOf(modelsOf(3)).larger({confidence: undefined, latency: 100, age: 100}), undefined);
});

test('where callers send no token counts, all requests are expected to take the mean time', t => {
	const book = new LatencyBook(clock);
	for (const milliseconds of [100, 300, 100, 300]) {
		book.note('route-1 small', {milliseconds, tokens: 0});
	}

	const expected = book.expected('route-1 small', {tokens: 0, fallback: 0});
	t.is(expected, book.expected('route-1 small', {fallback: 0}));
	t.true(expected > 100 && expected < 300);
});

test('prompts without parts, without tokens or of a subject that never comes again have no home', t => {
	t.is(chooseHomeScope({sharedTokens: 0, repeatShare: 1, bytes: 900}), 'none');
	const repeats = new RepeatBook().of(testRoute().id);
	for (let request = 0; request < 500; request++) {
		repeats.note(`wagon-${request}`, now);
	}

	t.is(chooseHomeScope({sharedTokens: 5000, repeatShare: repeats.share, bytes: 12_000}), 'none');
});

test('a service that is not there has no server, and takes none of another', t => {
	const held = serversOf({zones: [ownZone, otherZone], servers: 4});
	t.is(held.find({
		service: 'elsewhere' as ServiceId, isWanted: () => true, excluded: new Set(), subject: undefined, now,
	}), undefined);
});
