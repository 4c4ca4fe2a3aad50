import {
	type InstanceId, type ModelId, type ServerId, type ServiceId, type ZoneId,
} from '@valehitch/core';
import {chooseAffinityScope} from '@valehitch/routing';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {type SendResult} from './entry-servers-options.js';
import {EntryServers} from './entry-servers.js';
import {EscalationDemand} from './escalation-demand.js';
import {LatencyEstimator} from './latency-estimator.js';
import {ModelCascade} from './model-cascade.js';
import {seededRandom} from './_test-random.js';
import {RepeatTracker} from './repeat-tracker.js';

/** Deployments of other shapes than those that the thresholds were tuned for. The decisions must still be reasonable. */

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
	// Intentionally empty.
}

function idOf(index: number): ServerId {
	return `server-${index}` as ServerId;
}

/** Creates the servers of a shape, distributed over its zones in turn. */
function createServers({zones, servers}: Shape): EntryServers {
	const entryServers = new EntryServers({
		zone: ownZone, random: seededRandom(), loads: {peerLoadAt: () => 0, recordChange: ignore, discardServer: ignore}, onReplaced: ignore,
	});
	const records = Array.from({length: servers}, (_, index) => testServer({id: idOf(index), zone: zones[index % zones.length]!}));
	entryServers.applyRecords(records, {source: control, now});
	return entryServers;
}

function chooseId(entryServers: EntryServers, subject?: string): ServerId | undefined {
	const found = entryServers.choose({
		service: testServer().service, isAcceptable: () => true, excluded: new Set(), now,
		promptKey: subject === undefined ? undefined : {name: subject, affinityScope: 'all'},
	});
	return found?.id;
}

function modelsOf(count: number): readonly ModelId[] {
	return Array.from({length: count}, (_, index) => `model-${index}` as ModelId);
}

function createCascade(sizes: readonly ModelId[], tokens = 0): ModelCascade {
	const route = testRoute({kind: 'streaming', targetLatency: 3000, sizes});
	const escalations = new EscalationDemand({contentionAt: () => ({wait: 0, target: route.targetLatency})});
	return new ModelCascade({
		latencies: new LatencyEstimator(clock), bounds: {minimumConfidence: 50}, escalations, random: () => 0.5,
	}, {
		route, choosesModel: true, tokens, service: route.services[0]!.service,
	});
}

for (const result of ['failed', 'unreachable'] as const satisfies readonly SendResult[]) {
	test(`the only server of a service is still used, however often it is ${result}`, t => {
		const entryServers = createServers({zones: [ownZone], servers: 1});
		for (let send = 0; send < 50; send++) {
			entryServers.recordResult(idOf(0), result, now);
		}

		t.is(chooseId(entryServers), idOf(0));
		t.is(chooseId(entryServers, 'wagon-7'), idOf(0));
	});
}

test('an unreachable zone is avoided while another zone has servers, and used if nothing else is left', t => {
	const entryServers = createServers({zones: [ownZone, otherZone], servers: 8});
	entryServers.recordResult(idOf(1), 'unreachable', now);
	entryServers.recordResult(idOf(3), 'unreachable', now);
	for (let draw = 0; draw < 100; draw++) {
		t.is(Number(chooseId(entryServers, `wagon-${draw}`)?.slice('server-'.length)) % 2, 0, 'a server of the other zone was chosen');
	}

	for (const own of [0, 2, 4, 6]) {
		entryServers.recordResult(idOf(own), 'gone', now);
	}

	t.not(chooseId(entryServers), undefined);
});

test('an instance without servers in its zone uses those of other zones', t => {
	t.not(chooseId(createServers({zones: [otherZone], servers: 3})), undefined);
});

test('requests without a prompt are distributed over all servers, from one to a hundred', t => {
	for (const servers of [1, 2, 100]) {
		const entryServers = createServers({zones: [ownZone], servers});
		const loads = new Map<ServerId, number>();
		for (let request = 0; request < 10 * servers; request++) {
			const server = chooseId(entryServers)!;
			entryServers.beginSend(server, {load: 1, now: 0});
			loads.set(server, (loads.get(server) ?? 0) + 1);
		}

		t.is(loads.size, servers);
		t.true(Math.max(...loads.values()) <= 15, `One of ${servers} servers received ${Math.max(...loads.values())} of ${10 * servers} requests`);
	}
});

test('a route with one model never escalates, even with low confidence', t => {
	const models = createCascade(modelsOf(1));
	t.is(models.current, 'model-0' as ModelId);
	t.is(models.chooseLarger({confidence: 0, latency: 100, age: 100}), undefined);
});

test('a request with 40 models escalates from the smallest to the largest, and no further', t => {
	const models = createCascade(modelsOf(40));
	t.is(models.chooseLarger({confidence: 10, latency: 100, age: 100}), 'model-39' as ModelId);
	models.escalateTo('model-39' as ModelId);
	t.is(models.chooseLarger({confidence: 10, latency: 100, age: 200}), undefined);
});

test('a route without models, or a model that reports no confidence, never escalates', t => {
	const without = createCascade([]);
	t.is(without.current, undefined);
	t.is(without.load, 1);
	t.is(without.chooseLarger({confidence: 10, latency: 100, age: 100}), undefined);
	t.is(createCascade(modelsOf(3)).chooseLarger({confidence: undefined, latency: 100, age: 100}), undefined);
});

test('without token counts, all requests are expected to have the mean latency', t => {
	const latencies = new LatencyEstimator(clock);
	for (const milliseconds of [100, 300, 100, 300]) {
		latencies.record('route-1 small', {milliseconds, tokens: 0});
	}

	const expected = latencies.estimate('route-1 small', {tokens: 0, fallback: 0});
	t.is(expected, latencies.estimate('route-1 small', {fallback: 0}));
	t.true(expected > 100 && expected < 300);
});

test('prompts without parts, without tokens or with subjects that never repeat have no home server', t => {
	t.is(chooseAffinityScope({sharedTokens: 0, repeatRate: 1, bytes: 900}), 'none');
	const repeats = new RepeatTracker().forRoute(testRoute().id);
	for (let request = 0; request < 500; request++) {
		repeats.record(`wagon-${request}`, now);
	}

	t.is(chooseAffinityScope({sharedTokens: 5000, repeatRate: repeats.value, bytes: 12_000}), 'none');
});

test('an unknown service gets no server of another service', t => {
	const entryServers = createServers({zones: [ownZone, otherZone], servers: 4});
	t.is(entryServers.choose({
		service: 'elsewhere' as ServiceId, isAcceptable: () => true, excluded: new Set(), promptKey: undefined, now,
	}), undefined);
});
