import {
	type ModelId, type RandomSource, type ServerId, toId, type ZoneId,
} from '@valehitch/core';
import {
	chooseNextModel, type Route, type SendLoad,
} from '@valehitch/gateway';
import {type HomeScope} from '@valehitch/routing';
import {exponential} from '../_bench-tools.js';
import {type DecisionPolicy} from './decision-policy.js';
import {type CallerRequest, drawRequest} from './draw-request.js';
import {type EmulatedModel, type PromptTokens} from './emulated-engine.js';
import {type EmulatedEntry, emulatedService, makeEntry} from './emulated-entry.js';
import {EventQueue} from './event-queue.js';
import {emptyResult, type LoadResult} from './load-result.js';
import {type LoadShape} from './load-shape.js';
import {SteppingEngine} from './stepping-engine.js';
import {ToldLoads} from './told-loads.js';

/** Options of `simulateLoad`. */
export type PlayLoadOptions = {
	readonly policy: DecisionPolicy;
	/** The random source of the requests, separate so that every policy gets the same requests. */
	readonly loadRandom: RandomSource;
	/** The random source of routing decisions. */
	readonly decisionRandom: RandomSource;
};

type Request = Omit<CallerRequest, 'entry'> & {
	readonly route: Route['id'];
	readonly entry: EmulatedEntry;
	readonly homeScope: HomeScope | undefined;
	readonly arrivedAt: number;
	readonly excluded: Set<ServerId>;
	model: EmulatedModel;
	sends: number;
};

type Send = {
	readonly request: Request;
	readonly engine: SteppingEngine;
	readonly load: SendLoad;
	readonly sentAt: number;
	/** Whether the response has started. The outcome is counted then, and later failures are not simulated. */
	hasBegun: boolean;
};

const maximumSends = 3;
const minimumConfidence = 50;
/** The interval at which loads are published. */
const publishIntervalMilliseconds = 40;
/** The product's silence timeout: a server is abandoned after 8 times its expected latency, and after 500 ms at the earliest. */
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
export function playLoad(scenario: LoadShape, options: PlayLoadOptions): LoadResult {
	return new LoadSimulation(scenario, options).run();
}

class LoadSimulation {
	readonly #scenario: LoadShape;
	readonly #policy: DecisionPolicy;
	readonly #loadRandom: RandomSource;
	readonly #decisionRandom: RandomSource;
	readonly #queue = new EventQueue();
	readonly #engines: readonly SteppingEngine[];
	readonly #entries: readonly EmulatedEntry[];
	readonly #sends = new Map<number, Send>();
	readonly #sharedLoads: ToldLoads | undefined;
	#lastSendId = 0;
	readonly #result = emptyResult();

	constructor(scenario: LoadShape, {policy, loadRandom, decisionRandom}: PlayLoadOptions) {
		this.#scenario = scenario;
		this.#policy = policy;
		this.#loadRandom = loadRandom;
		this.#decisionRandom = decisionRandom;
		this.#engines = Array.from({length: scenario.engines}, (_, index) => this.#makeEngine(index));
		this.#entries = Array.from({length: scenario.entries}, (_, index) => this.#makeEntry(index));
		this.#sharedLoads = policy.knownLoads === 'none' ? undefined : new ToldLoads(this.#entries, policy.knownLoads);
	}

	run(): LoadResult {
		for (const fault of this.#scenario.faults) {
			const engine = this.#engines[fault.engine]!;
			this.#queue.add(fault.at, () => {
				for (const id of engine.slowDown(fault.slower)) {
					this.#retryElsewhere(id);
				}
			});
			this.#queue.add(fault.at + fault.milliseconds, () => {
				engine.recover();
			});
		}

		if (this.#sharedLoads !== undefined) {
			this.#publishLoads(this.#sharedLoads);
		}

		this.#scheduleArrivals();
		this.#queue.runUntil(this.#scenario.milliseconds + drainMilliseconds);
		return this.#result;
	}

	#makeEngine(index: number): SteppingEngine {
		return new SteppingEngine({
			id: toId<ServerId>(`engine-${index}`),
			zone: this.#zoneOf(index),
			sheet: this.#scenario.sheet,
			queue: this.#queue,
			events: {
				onFirst: (id, prompt) => {
					this.#handleFirstToken(id, prompt);
				},
				onDone: id => {
					this.#endSend(id);
				},
			},
		});
	}

	#makeEntry(index: number): EmulatedEntry {
		return makeEntry({
			zone: this.#zoneOf(index),
			clock: {monotonic: () => this.#queue.now},
			random: this.#decisionRandom,
			engines: this.#engines,
			slots: this.#scenario.sheet.slots,
			othersOn: (server, servers) => this.#sharedLoads?.othersOn(server, servers) ?? 0,
		});
	}

	#zoneOf(index: number): ZoneId {
		return toId<ZoneId>(`zone-${index % this.#scenario.zones}`);
	}

	#publishLoads(sharedLoads: ToldLoads): void {
		sharedLoads.tell();
		this.#queue.add(publishIntervalMilliseconds, () => {
			this.#publishLoads(sharedLoads);
		});
	}

	#scheduleArrivals(): void {
		if (this.#queue.now > this.#scenario.milliseconds) {
			return;
		}

		this.#send(this.#createRequest());
		this.#result.requests++;
		this.#queue.add(exponential(1000 / this.#scenario.requestsPerSecond, this.#loadRandom), () => {
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

	#homeScope({repeats}: EmulatedEntry, {kind, subject: promptKey, ownTokens: uniqueTokens}: CallerRequest): HomeScope | undefined {
		const {homeScope: chooseAffinityScope} = this.#policy;
		if (chooseAffinityScope === undefined || kind.sharedTokens === 0) {
			return undefined;
		}

		const routeRepeats = repeats.of(toId<Route['id']>(kind.name));
		routeRepeats.note(promptKey, this.#queue.now);
		return chooseAffinityScope({sharedTokens: kind.sharedTokens, repeatShare: routeRepeats.share, bytes: bytesPerToken * (kind.sharedTokens + uniqueTokens)});
	}

	#send(request: Request): void {
		const {entry: {servers, zone}, model, subject: promptKey, homeScope, excluded} = request;
		const {now} = this.#queue;
		if (request.sends >= maximumSends) {
			this.#result.lost++;
			return;
		}

		const record = servers.find({
			service: emulatedService, isWanted: () => true, excluded, now, subject: homeScope === undefined ? undefined : {name: `${promptKey} ${model.id}`, homeScope},
		});
		const engine = this.#engines.find(({id}) => id === record?.id);
		if (engine === undefined) {
			this.#result.lost++;
			return;
		}

		request.sends++;
		this.#result.sends++;
		const id = ++this.#lastSendId;
		const networkLatency = engine.zone === zone ? 0 : this.#scenario.crossing;
		this.#sends.set(id, {
			request, engine, load: servers.begin(engine.id, Math.max(1, this.#expectedLatency(request) / loadUnitMilliseconds)), sentAt: now, hasBegun: false,
		});
		this.#queue.add(networkLatency, () => {
			this.#deliver(id, engine);
		});
		if (this.#policy.givesUp && request.sends < maximumSends) {
			this.#queue.add(Math.max(minimumSilenceMilliseconds, silenceFactor * this.#expectedLatency(request)), () => {
				this.#abandon(id);
			});
		}
	}

	#expectedLatency({entry: {latencies}, route, model, kind, ownTokens: uniqueTokens}: Request): number {
		const fallback = kind.targetLatency / silenceFactor;
		const tokens = kind.sharedTokens + uniqueTokens;
		return latencies.expected(`${route} ${model.id}`, this.#policy.countsTokens ? {tokens, fallback} : {fallback});
	}

	/** Delivers a request to its engine, which may be stopped or full. */
	#deliver(id: number, engine: SteppingEngine): void {
		const send = this.#sends.get(id);
		if (send === undefined) {
			return;
		}

		const {request: {model, kind, subject: promptKey, ownTokens: uniqueTokens, entry}} = send;
		const segments = kind.sharedTokens === 0 ? [] : [{id: promptKey, tokens: kind.sharedTokens}];
		if (engine.offer({
			id, model, parts: segments, ownTokens: uniqueTokens, outputTokens: kind.outputTokens,
		})) {
			return;
		}

		if (engine.isStopped) {
			entry.servers.record(engine.id, 'unreachable', this.#queue.now);
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
		this.#result.tokensRead += prefilled;
		this.#result.tokensKept += cached;
		const send = this.#sends.get(id);
		if (send === undefined) {
			return;
		}

		const {request, engine, load, sentAt} = send;
		const {entry: {servers, latencies}, kind, route, model, hardness: difficulty, arrivedAt, ownTokens: uniqueTokens} = request;
		const {now} = this.#queue;
		servers.hear(engine.id, now);
		servers.record(engine.id, 'answered', now);
		load.answerBegins();
		send.hasBegun = true;
		latencies.note(`${route} ${model.id}`, {milliseconds: now - sentAt, tokens: this.#policy.countsTokens ? kind.sharedTokens + uniqueTokens : 0});
		const largerModel = this.#chooseLargerModel(request);
		if (largerModel !== undefined) {
			request.model = largerModel;
			request.excluded.clear();
			engine.cancel(id);
			this.#endSend(id);
			this.#send(request);
			return;
		}

		if (now - arrivedAt > kind.targetLatency) {
			this.#result.late++;
		} else if (difficulty > model.ability) {
			this.#result.tooHard++;
		} else {
			this.#result.good++;
		}
	}

	/** Chooses a larger model to escalate to, depending on the confidence of the model that responded. */
	#chooseLargerModel({entry: {latencies}, kind, route, model, hardness: difficulty, doubt: confidenceError, arrivedAt, sends}: Request): EmulatedModel | undefined {
		if (!this.#policy.steps || sends >= maximumSends) {
			return undefined;
		}

		const {models} = this.#scenario;
		const largest = models.at(-1)!;
		const confidence = 0.5 + model.ability - difficulty + confidenceError;
		const next = chooseNextModel({
			sizes: models.map(({id}) => toId<ModelId>(id)),
			current: toId<ModelId>(model.id),
			confidence: 100 * Math.min(1, Math.max(0, confidence)),
			leastConfidence: minimumConfidence,
			timeLeft: kind.targetLatency - (this.#queue.now - arrivedAt),
			expectedTime: latencies.expected(`${route} ${largest.id}`, {fallback: 0.35 * kind.targetLatency}),
		});
		return models.find(({id}) => id === next);
	}

	#endSend(id: number): void {
		this.#sends.get(id)?.load.end();
		this.#sends.delete(id);
	}
}
