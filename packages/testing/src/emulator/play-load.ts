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
import {type EmulatedModel} from './emulated-engine.js';
import {type EmulatedEntry, emulatedService, makeEntry} from './emulated-entry.js';
import {EventQueue} from './event-queue.js';
import {emptyResult, type LoadResult} from './load-result.js';
import {type LoadShape} from './load-shape.js';
import {SteppingEngine} from './stepping-engine.js';
import {ToldLoads} from './told-loads.js';

/** What a load is decided by, and the random numbers. */
export type PlayLoadOptions = {
	readonly policy: DecisionPolicy;
	/** For the callers alone, so that the same numbers give the same requests under each policy. */
	readonly loadRandom: RandomSource;
	/** For the decisions. */
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
	/** Whether its answer has begun, with which it counts: what ends later is not played. */
	hasBegun: boolean;
};

const maximumSends = 3;
const leastConfidence = 50;
/** Loads are told this long after they changed, in milliseconds. */
const tellMilliseconds = 40;
/** The bounds of the product's own silence: a server is given up after eight times its expected time, 500 ms at least. */
const silentFactor = 8;
const quietMilliseconds = 500;
const bytesPerToken = 4;
/** The time after the last request in which answers are still counted, in milliseconds. */
const lastAnswersMilliseconds = 10_000;
/** The time of one unit of work, in milliseconds. */
const workUnitMilliseconds = 100;

/**
Plays a load in simulated time: callers, entry instances that decide by the product's own modules, and emulated engines.

@param shape The load.
@param options What it is decided by, and the random numbers.
@returns What callers got.
@example
```ts
const {good, requests} = playLoad(shape, {policy: productPolicy, loadRandom: seededRandom(7), decisionRandom: seededRandom(8)});
```
*/
export function playLoad(shape: LoadShape, options: PlayLoadOptions): LoadResult {
	return new LoadPlay(shape, options).play();
}

class LoadPlay {
	readonly #shape: LoadShape;
	readonly #policy: DecisionPolicy;
	readonly #loadRandom: RandomSource;
	readonly #decisionRandom: RandomSource;
	readonly #queue = new EventQueue();
	readonly #engines: readonly SteppingEngine[];
	readonly #entries: readonly EmulatedEntry[];
	readonly #sends = new Map<number, Send>();
	readonly #told: ToldLoads | undefined;
	#lastSend = 0;
	readonly #result = emptyResult();

	constructor(shape: LoadShape, {policy, loadRandom, decisionRandom}: PlayLoadOptions) {
		this.#shape = shape;
		this.#policy = policy;
		this.#loadRandom = loadRandom;
		this.#decisionRandom = decisionRandom;
		this.#engines = Array.from({length: shape.engines}, (_, index) => this.#makeEngine(index));
		this.#entries = Array.from({length: shape.entries}, (_, index) => this.#makeEntry(index));
		this.#told = policy.knownLoads === 'none' ? undefined : new ToldLoads(this.#entries, policy.knownLoads);
	}

	play(): LoadResult {
		for (const fault of this.#shape.faults) {
			const engine = this.#engines[fault.engine]!;
			this.#queue.add(fault.at, () => {
				for (const id of engine.slowDown(fault.slower)) {
					this.#sendElsewhere(id);
				}
			});
			this.#queue.add(fault.at + fault.milliseconds, () => {
				engine.recover();
			});
		}

		if (this.#told !== undefined) {
			this.#tell(this.#told);
		}

		this.#arrive();
		this.#queue.runUntil(this.#shape.milliseconds + lastAnswersMilliseconds);
		return this.#result;
	}

	#makeEngine(index: number): SteppingEngine {
		return new SteppingEngine({
			id: toId<ServerId>(`engine-${index}`),
			zone: this.#zoneOf(index),
			sheet: this.#shape.sheet,
			queue: this.#queue,
			events: {
				onFirst: (id, prompt) => {
					this.#takeFirst(id, prompt);
				},
				onDone: id => {
					this.#end(id);
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
			slots: this.#shape.sheet.slots,
			othersOn: (server, servers) => this.#told?.othersOn(server, servers) ?? 0,
		});
	}

	#zoneOf(index: number): ZoneId {
		return toId<ZoneId>(`zone-${index % this.#shape.zones}`);
	}

	#tell(told: ToldLoads): void {
		told.tell();
		this.#queue.add(tellMilliseconds, () => {
			this.#tell(told);
		});
	}

	#arrive(): void {
		if (this.#queue.now > this.#shape.milliseconds) {
			return;
		}

		this.#send(this.#takeRequest());
		this.#result.requests++;
		this.#queue.add(exponential(1000 / this.#shape.requestsPerSecond, this.#loadRandom), () => {
			this.#arrive();
		});
	}

	#takeRequest(): Request {
		const request = drawRequest(this.#shape, this.#loadRandom);
		const entry = this.#entries[request.entry]!;
		const route = toId<Route['id']>(request.kind.name);
		return {
			...request, entry, route, homeScope: this.#homeScope(entry, request), arrivedAt: this.#queue.now, excluded: new Set(), model: this.#shape.models[0]!, sends: 0,
		};
	}

	#homeScope({repeats}: EmulatedEntry, {kind, subject, ownTokens}: CallerRequest): HomeScope | undefined {
		const {homeScope} = this.#policy;
		if (homeScope === undefined || kind.sharedTokens === 0) {
			return undefined;
		}

		const repeatsOnRoute = repeats.of(toId<Route['id']>(kind.name));
		repeatsOnRoute.note(subject, this.#queue.now);
		return homeScope({sharedTokens: kind.sharedTokens, repeatShare: repeatsOnRoute.share, bytes: bytesPerToken * (kind.sharedTokens + ownTokens)});
	}

	#send(request: Request): void {
		const {entry: {servers, zone}, model, subject, homeScope, excluded} = request;
		const {now} = this.#queue;
		if (request.sends >= maximumSends) {
			this.#result.lost++;
			return;
		}

		const record = servers.find({
			service: emulatedService, isWanted: () => true, excluded, now, subject: homeScope === undefined ? undefined : {name: `${subject} ${model.id}`, homeScope},
		});
		const engine = this.#engines.find(({id}) => id === record?.id);
		if (engine === undefined) {
			this.#result.lost++;
			return;
		}

		request.sends++;
		this.#result.sends++;
		const id = ++this.#lastSend;
		const way = engine.zone === zone ? 0 : this.#shape.crossing;
		this.#sends.set(id, {
			request, engine, load: servers.begin(engine.id, Math.max(1, this.#expected(request) / workUnitMilliseconds)), sentAt: now, hasBegun: false,
		});
		this.#queue.add(way, () => {
			this.#reach(id, engine);
		});
		if (this.#policy.givesUp && request.sends < maximumSends) {
			this.#queue.add(Math.max(quietMilliseconds, silentFactor * this.#expected(request)), () => {
				this.#giveUp(id);
			});
		}
	}

	#expected({entry: {latencies}, route, model, kind, ownTokens}: Request): number {
		const fallback = kind.targetLatency / silentFactor;
		const tokens = kind.sharedTokens + ownTokens;
		return latencies.expected(`${route} ${model.id}`, this.#policy.countsTokens ? {tokens, fallback} : {fallback});
	}

	/** The request arrives at the engine, which may be stopped or full. */
	#reach(id: number, engine: SteppingEngine): void {
		const send = this.#sends.get(id);
		if (send === undefined) {
			return;
		}

		const {request: {model, kind, subject, ownTokens, entry}} = send;
		const parts = kind.sharedTokens === 0 ? [] : [{id: subject, tokens: kind.sharedTokens}];
		if (engine.offer({
			id, model, parts, ownTokens, outputTokens: kind.outputTokens,
		})) {
			return;
		}

		if (engine.isStopped) {
			entry.servers.record(engine.id, 'unreachable', this.#queue.now);
		}

		this.#sendElsewhere(id);
	}

	#sendElsewhere(id: number): void {
		const send = this.#sends.get(id);
		this.#end(id);
		if (send?.hasBegun === false) {
			send.request.excluded.add(send.engine.id);
			this.#send(send.request);
		}
	}

	#giveUp(id: number): void {
		const send = this.#sends.get(id);
		if (send?.hasBegun === false) {
			send.engine.cancel(id);
			this.#sendElsewhere(id);
		}
	}

	#takeFirst(id: number, {kept, read}: {readonly kept: number; readonly read: number}): void {
		this.#result.tokensRead += read;
		this.#result.tokensKept += kept;
		const send = this.#sends.get(id);
		if (send === undefined) {
			return;
		}

		const {request, engine, load, sentAt} = send;
		const {entry: {servers, latencies}, kind, route, model, hardness, arrivedAt, ownTokens} = request;
		const {now} = this.#queue;
		servers.hear(engine.id, now);
		servers.record(engine.id, 'answered', now);
		load.answerBegins();
		send.hasBegun = true;
		latencies.note(`${route} ${model.id}`, {milliseconds: now - sentAt, tokens: this.#policy.countsTokens ? kind.sharedTokens + ownTokens : 0});
		const larger = this.#larger(request);
		if (larger !== undefined) {
			request.model = larger;
			request.excluded.clear();
			engine.cancel(id);
			this.#end(id);
			this.#send(request);
			return;
		}

		const isLate = now - arrivedAt > kind.targetLatency;
		const isTooHard = hardness > model.ability;
		this.#result[isLate ? 'late' : (isTooHard ? 'tooHard' : 'good')]++;
	}

	/** The model that should answer in place of the one that did, by its opinion of itself. */
	#larger({entry: {latencies}, kind, route, model, hardness, doubt, arrivedAt, sends}: Request): EmulatedModel | undefined {
		if (!this.#policy.steps || sends >= maximumSends) {
			return undefined;
		}

		const {models} = this.#shape;
		const largest = models.at(-1)!;
		const opinion = 0.5 + model.ability - hardness + doubt;
		const next = chooseNextModel({
			sizes: models.map(({id}) => toId<ModelId>(id)),
			current: toId<ModelId>(model.id),
			confidence: 100 * Math.min(1, Math.max(0, opinion)),
			leastConfidence,
			timeLeft: kind.targetLatency - (this.#queue.now - arrivedAt),
			expectedTime: latencies.expected(`${route} ${largest.id}`, {fallback: 0.35 * kind.targetLatency}),
		});
		return models.find(({id}) => id === next);
	}

	#end(id: number): void {
		this.#sends.get(id)?.load.end();
		this.#sends.delete(id);
	}
}
