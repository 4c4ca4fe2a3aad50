import {
	type ModelId, type RandomSource, type ServerId, toId, type ZoneId,
} from '@valehitch/core';
import {
	chooseNextModel, type EntryServers, type Route, type SendLoad,
} from '@valehitch/gateway';
import {type AffinityScope} from '@valehitch/routing';
import {sampleExponential} from '../_bench-tools.js';
import {type SimulationPolicy} from './simulation-policy.js';
import {type CallerRequest, drawRequest} from './draw-request.js';
import {DigestLoads} from './digest-loads.js';
import {type EmulatedModel, type PromptTokens} from './emulated-engine.js';
import {type EmulatedEntry, emulatedService, createEmulatedEntry} from './emulated-entry.js';
import {EventQueue} from './event-queue.js';
import {emptyResult, type LoadResult} from './load-result.js';
import {type LoadScenario} from './load-scenario.js';
import {ScheduledEngine} from './scheduled-engine.js';
import {SharedLoads} from './shared-loads.js';

/** Options of `simulateLoad`. */
export type SimulateLoadOptions = {
	readonly policy: SimulationPolicy;
	/** The random source of the requests, separate so that every policy gets the same requests. */
	readonly loadRandom: RandomSource;
	/** The random source of routing decisions. */
	readonly decisionRandom: RandomSource;
	/** Called with the time to the first token of each response, in milliseconds; does nothing by default. */
	readonly onResponse?: (milliseconds: number) => void;
};

type Request = Omit<CallerRequest, 'entry'> & {
	readonly route: Route['id'];
	readonly entry: EmulatedEntry;
	readonly homeScope: AffinityScope | undefined;
	readonly arrivedAt: number;
	readonly excluded: Set<ServerId>;
	model: EmulatedModel;
	sends: number;
};

type Send = {
	readonly request: Request;
	readonly engine: ScheduledEngine;
	readonly load: SendLoad;
	readonly sentAt: number;
	/** Whether the response has started. The outcome is counted then, and later failures are not simulated. */
	hasBegun: boolean;
};

const maximumSends = 3;
const minimumConfidence = 50;
/** The interval at which loads are published. */
const publishIntervalMilliseconds = 40;
/** The product's silence timeout: a request is moved to another server after 8 times its expected latency, and after 500 ms at the earliest. */
const silenceFactor = 8;
const minimumSilenceMilliseconds = 500;
const bytesPerToken = 4;
/** The time after the last request during which responses are still counted. */
const drainMilliseconds = 10_000;
/** The expected latency that corresponds to one unit of load. */
const loadUnitMilliseconds = 100;

/**
Simulates a load with callers, entry instances that route with the product's own modules, and emulated engines.

@param scenario The load scenario.
@param options The policy and the random sources.
@returns The outcomes of the requests.
@example
```ts
const {good, requests} = simulateLoad(scenario, {policy: productPolicy, loadRandom: seededRandom(7), decisionRandom: seededRandom(8)});
```
*/
export function simulateLoad(scenario: LoadScenario, options: SimulateLoadOptions): LoadResult {
	return new LoadSimulation(scenario, options).run();
}

class LoadSimulation {
	readonly #scenario: LoadScenario;
	readonly #policy: SimulationPolicy;
	readonly #loadRandom: RandomSource;
	readonly #decisionRandom: RandomSource;
	readonly #queue = new EventQueue();
	readonly #engines: readonly ScheduledEngine[];
	readonly #entries: readonly EmulatedEntry[];
	readonly #sends = new Map<number, Send>();
	readonly #sharedLoads: SharedLoads | undefined;
	readonly #digestLoads: DigestLoads | undefined;
	readonly #onResponse: SimulateLoadOptions['onResponse'];
	#lastSendId = 0;
	readonly #result = emptyResult();

	constructor(scenario: LoadScenario, {policy, loadRandom, decisionRandom, onResponse}: SimulateLoadOptions) {
		this.#onResponse = onResponse;
		this.#scenario = scenario;
		this.#policy = policy;
		this.#loadRandom = loadRandom;
		this.#decisionRandom = decisionRandom;
		this.#engines = Array.from({length: scenario.engines}, (_, index) => this.#makeEngine(index));
		this.#entries = Array.from({length: scenario.entries}, (_, index) => this.#makeEntry(index));
		const {knownLoads, digestLossRate, digestOutage} = policy;
		this.#sharedLoads = knownLoads === 'none' ? undefined : new SharedLoads(this.#entries, knownLoads === 'all' ? 'all' : 'near');
		this.#digestLoads = knownLoads === 'digest'
			? new DigestLoads(this.#entries, {
				queue: this.#queue, random: decisionRandom, lossRate: digestLossRate ?? 0, outage: digestOutage,
			})
			: undefined;
	}

	run(): LoadResult {
		for (const fault of this.#scenario.faults) {
			const engine = this.#engines[fault.engine]!;
			this.#queue.schedule(fault.at, () => {
				for (const id of engine.slowDown(fault.slowdownFactor)) {
					this.#retryElsewhere(id);
				}
			});
			this.#queue.schedule(fault.at + fault.durationMilliseconds, () => {
				engine.recover();
			});
		}

		if (this.#sharedLoads !== undefined) {
			this.#publishLoads(this.#sharedLoads);
		}

		this.#scheduleArrivals();
		this.#queue.runUntil(this.#scenario.durationMilliseconds + drainMilliseconds);
		return this.#result;
	}

	#makeEngine(index: number): ScheduledEngine {
		return new ScheduledEngine({
			id: toId<ServerId>(`engine-${index}`),
			zone: this.#zoneOf(index),
			parameters: this.#scenario.engineParameters,
			queue: this.#queue,
			callbacks: {
				onFirstToken: (id, prompt) => {
					this.#handleFirstToken(id, prompt);
				},
				onComplete: id => {
					this.#endSend(id);
				},
			},
		});
	}

	#makeEntry(index: number): EmulatedEntry {
		return createEmulatedEntry({
			zone: this.#zoneOf(index),
			clock: {monotonic: () => this.#queue.now},
			random: this.#decisionRandom,
			engines: this.#engines,
			slots: this.#scenario.engineParameters.slots,
			peerLoadAt: (server, servers) => (this.#digestFor(servers) ?? this.#sharedLoads)?.peerLoadAt(server, servers) ?? 0,
			ageAt: servers => this.#digestFor(servers)?.ageAt(servers) ?? 0,
		});
	}

	/** Returns the digest if the instance has one; otherwise the loads of its peers count. */
	#digestFor(servers: EntryServers): DigestLoads | undefined {
		return this.#digestLoads?.isKnown(servers) === true ? this.#digestLoads : undefined;
	}

	#zoneOf(index: number): ZoneId {
		return toId<ZoneId>(`zone-${index % this.#scenario.zones}`);
	}

	#publishLoads(sharedLoads: SharedLoads): void {
		sharedLoads.publish();
		this.#queue.schedule(publishIntervalMilliseconds, () => {
			this.#publishLoads(sharedLoads);
		});
	}

	#scheduleArrivals(): void {
		if (this.#queue.now > this.#scenario.durationMilliseconds) {
			return;
		}

		this.#send(this.#createRequest());
		this.#result.requests++;
		this.#queue.schedule(sampleExponential(1000 / this.#scenario.requestsPerSecond, this.#loadRandom), () => {
			this.#scheduleArrivals();
		});
	}

	#createRequest(): Request {
		const request = drawRequest(this.#scenario, this.#loadRandom);
		const entry = this.#entries[request.entry]!;
		const route = toId<Route['id']>(request.kind.name);
		return {
			...request, entry, route, homeScope: this.#homeScope(entry, request), arrivedAt: this.#queue.now, excluded: new Set(), model: this.#scenario.models[0]!, sends: 0,
		};
	}

	#homeScope({repeats}: EmulatedEntry, {kind, promptKey, uniqueTokens}: CallerRequest): AffinityScope | undefined {
		const {chooseAffinityScope} = this.#policy;
		if (chooseAffinityScope === undefined || kind.sharedTokens === 0) {
			return undefined;
		}

		const routeRepeats = repeats.forRoute(toId<Route['id']>(kind.name));
		routeRepeats.record(promptKey, this.#queue.now);
		return chooseAffinityScope({sharedTokens: kind.sharedTokens, repeatRate: routeRepeats.value, bytes: bytesPerToken * (kind.sharedTokens + uniqueTokens)});
	}

	#send(request: Request): void {
		const {entry: {servers, zone}, model, promptKey, homeScope, excluded} = request;
		const {now} = this.#queue;
		if (request.sends >= maximumSends) {
			this.#result.failed++;
			return;
		}

		const record = servers.choose({
			service: emulatedService, isAcceptable: () => true, excluded, now, promptKey: homeScope === undefined ? undefined : {name: `${promptKey} ${model.id}`, affinityScope: homeScope},
		});
		const engine = this.#engines.find(({id}) => id === record?.id);
		if (engine === undefined) {
			this.#result.failed++;
			return;
		}

		request.sends++;
		this.#result.sends++;
		const id = ++this.#lastSendId;
		const networkLatency = engine.zone === zone ? 0 : this.#scenario.interZoneLatency;
		this.#sends.set(id, {
			request, engine, load: servers.beginSend(engine.id, {load: Math.max(1, this.#expectedLatency(request) / loadUnitMilliseconds), now}), sentAt: now, hasBegun: false,
		});
		this.#queue.schedule(networkLatency, () => {
			this.#deliver(id, engine);
		});
		if (this.#policy.abandonsSilentServers && request.sends < maximumSends) {
			this.#queue.schedule(Math.max(minimumSilenceMilliseconds, silenceFactor * this.#expectedLatency(request)), () => {
				this.#abandon(id);
			});
		}
	}

	#expectedLatency({entry: {latencies}, route, model, kind, uniqueTokens}: Request): number {
		const fallback = kind.targetLatency / silenceFactor;
		const tokens = kind.sharedTokens + uniqueTokens;
		return latencies.estimate(`${route} ${model.id}`, this.#policy.scalesWithPrompt ? {tokens, fallback} : {fallback});
	}

	/** Delivers a request to its engine, which may be stopped or full. */
	#deliver(id: number, engine: ScheduledEngine): void {
		const send = this.#sends.get(id);
		if (send === undefined) {
			return;
		}

		const {request: {model, kind, promptKey, uniqueTokens, entry}} = send;
		const segments = kind.sharedTokens === 0 ? [] : [{id: promptKey, tokens: kind.sharedTokens}];
		if (engine.tryEnqueue({
			id, model, segments, uniqueTokens, outputTokens: kind.outputTokens,
		})) {
			return;
		}

		if (engine.isStopped) {
			entry.servers.recordResult(engine.id, 'unreachable', this.#queue.now);
		}

		this.#retryElsewhere(id);
	}

	#retryElsewhere(id: number): void {
		const send = this.#sends.get(id);
		this.#endSend(id);
		if (send?.hasBegun === false) {
			send.request.excluded.add(send.engine.id);
			this.#send(send.request);
		}
	}

	#abandon(id: number): void {
		const send = this.#sends.get(id);
		if (send?.hasBegun === false) {
			send.engine.cancel(id);
			this.#retryElsewhere(id);
		}
	}

	#handleFirstToken(id: number, {cached, prefilled}: PromptTokens): void {
		this.#result.tokensPrefilled += prefilled;
		this.#result.tokensCached += cached;
		const send = this.#sends.get(id);
		if (send === undefined) {
			return;
		}

		const {request, engine, load, sentAt} = send;
		const {entry: {servers, latencies}, kind, route, model, difficulty, arrivedAt, uniqueTokens} = request;
		const {now} = this.#queue;
		servers.recordData(engine.id, now);
		servers.recordResult(engine.id, 'answered', now);
		load.markAnswerStarted();
		send.hasBegun = true;
		latencies.record(`${route} ${model.id}`, {milliseconds: now - sentAt, tokens: this.#policy.scalesWithPrompt ? kind.sharedTokens + uniqueTokens : 0});
		const largerModel = this.#chooseLargerModel(request);
		if (largerModel !== undefined) {
			request.model = largerModel;
			request.excluded.clear();
			engine.cancel(id);
			this.#endSend(id);
			this.#send(request);
			return;
		}

		this.#onResponse?.(now - arrivedAt);
		if (now - arrivedAt > kind.targetLatency) {
			this.#result.late++;
		} else if (difficulty > model.capability) {
			this.#result.incorrect++;
		} else {
			this.#result.good++;
		}
	}

	/** Chooses a larger model to escalate to, depending on the confidence of the model that responded. */
	#chooseLargerModel({entry: {latencies}, kind, route, model, difficulty, confidenceError, arrivedAt, sends}: Request): EmulatedModel | undefined {
		if (!this.#policy.escalates || sends >= maximumSends) {
			return undefined;
		}

		const {models} = this.#scenario;
		const largest = models.at(-1)!;
		const confidence = 0.5 + model.capability - difficulty + confidenceError;
		const next = chooseNextModel({
			sizes: models.map(({id}) => toId<ModelId>(id)),
			current: toId<ModelId>(model.id),
			confidence: 100 * Math.min(1, Math.max(0, confidence)),
			minimumConfidence,
			timeLeft: kind.targetLatency - (this.#queue.now - arrivedAt),
			expectedLatency: latencies.estimate(`${route} ${largest.id}`, {fallback: 0.35 * kind.targetLatency}),
		});
		return models.find(({id}) => id === next);
	}

	#endSend(id: number): void {
		this.#sends.get(id)?.load.end();
		this.#sends.delete(id);
	}
}
