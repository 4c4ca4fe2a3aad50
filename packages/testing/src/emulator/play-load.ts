import {
	type Clock, type ModelId, type RandomSource, type ServerId, toId, type ZoneId,
} from '@valehitch/core';
import {
	chooseNextModel, EntryServers, LatencyBook, RepeatBook, type Route, type SendLoad, type ServerRecord,
} from '@valehitch/gateway';
import {type chooseHomeScope, type HomeScope} from '@valehitch/routing';
import {exponential} from '../_bench-tools.js';
import {EmulatedEngine, type EmulatedModel} from './emulated-engine.js';
import {EventQueue} from './event-queue.js';
import {type LoadShape, type RequestKind} from './load-shape.js';

/** What a play is decided by; each member is one mechanism. */
export type DecisionPolicy = {
	readonly name: string;
	/** Where prompts have their homes; undefined where they have none. */
	readonly homeScope: typeof chooseHomeScope | undefined;
	/** Whether entry instances tell each other their loads. */
	readonly sharesLoads: boolean;
	/** Whether times are taken in proportion to the prompt. */
	readonly countsTokens: boolean;
	/** Whether a server without a word is given up for another. */
	readonly givesUp: boolean;
	/** Whether an unsure answer is asked for again of the largest model. */
	readonly steps: boolean;
};

/** What callers got, and what it took. */
export type LoadResult = {
	readonly requests: number;
	/** Answers whose first token was on time and whose model was able to give them. */
	readonly good: number;
	readonly late: number;
	readonly tooHard: number;
	readonly lost: number;
	readonly sends: number;
	/** Prompt tokens that engines read, and those that they had kept. */
	readonly tokensRead: number;
	readonly tokensKept: number;
};

/** What a load is decided by, and the random numbers. */
export type PlayLoadOptions = {
	readonly policy: DecisionPolicy;
	/** For the callers alone, so that the same numbers give the same requests under each policy. */
	readonly loadRandom: RandomSource;
	/** For the decisions. */
	readonly decisionRandom: RandomSource;
};

type Engine = {
	readonly id: ServerId;
	readonly zone: ZoneId;
	readonly engine: EmulatedEngine;
	isStepping: boolean;
	slower: number;
};

type Entry = {
	readonly zone: ZoneId;
	readonly servers: EntryServers;
	readonly latencies: LatencyBook;
	readonly repeats: RepeatBook;
};

type Request = {
	readonly kind: RequestKind;
	readonly route: Route['id'];
	readonly entry: Entry;
	readonly subject: string;
	readonly ownTokens: number;
	readonly hardness: number;
	/** What models add to their opinions of their answers to it. */
	readonly doubt: number;
	readonly homeScope: HomeScope | undefined;
	readonly arrivedAt: number;
	readonly excluded: Set<ServerId>;
	model: EmulatedModel;
	sends: number;
};

type Send = {
	readonly request: Request;
	readonly engine: Engine;
	readonly load: SendLoad;
	readonly sentAt: number;
	/** Whether its answer has begun, with which it counts: what ends later is not played. */
	hasBegun: boolean;
};

const service = toId<ServerRecord['service']>('models');
const controlInstance = toId<Parameters<EntryServers['take']>[1]['source']>('control');
const maximumSends = 3;
const leastConfidence = 50;
/** Loads are told this long after they changed, in milliseconds. */
const tellMilliseconds = 40;
/** The bounds of the product's own silence: a server is given up after eight times its expected time, 500 ms at least. */
const silentFactor = 8;
const quietMilliseconds = 500;
/** How far a model's opinion of itself scatters, from 0 to 1. */
const opinionScatter = 0.15;
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
	readonly #engines: readonly Engine[];
	readonly #entries: readonly Entry[];
	readonly #sends = new Map<number, Send>();
	/** The work at each server as it was told last, of all entries and of each. */
	#told = new Map<ServerId, number>();
	#toldBy = new Map<EntryServers, ReadonlyMap<ServerId, number>>();
	#lastSend = 0;
	readonly #result = {
		requests: 0, good: 0, late: 0, tooHard: 0, lost: 0, sends: 0, tokensRead: 0, tokensKept: 0,
	};

	constructor(shape: LoadShape, {policy, loadRandom, decisionRandom}: PlayLoadOptions) {
		this.#shape = shape;
		this.#policy = policy;
		this.#loadRandom = loadRandom;
		this.#decisionRandom = decisionRandom;
		this.#engines = Array.from({length: shape.engines}, (_, index) => this.#makeEngine(index));
		this.#entries = Array.from({length: shape.entries}, (_, index) => this.#makeEntry(index));
	}

	play(): LoadResult {
		for (const fault of this.#shape.faults) {
			const engine = this.#engines[fault.engine]!;
			this.#queue.add(fault.at, () => {
				this.#beginFault(engine, fault.slower);
			});
			this.#queue.add(fault.at + fault.milliseconds, () => {
				engine.slower = 1;
				this.#work(engine);
			});
		}

		if (this.#policy.sharesLoads) {
			this.#tell();
		}

		this.#arrive();
		this.#queue.runUntil(this.#shape.milliseconds + lastAnswersMilliseconds);
		return this.#result;
	}

	#makeEngine(index: number): Engine {
		const engine = new EmulatedEngine(this.#shape.sheet, {
			onFirst: (id, prompt) => {
				this.#takeFirst(id, prompt);
			},
			onDone: id => {
				this.#end(id);
			},
		});
		return {
			id: toId<ServerId>(`engine-${index}`), zone: this.#zoneOf(index), engine, isStepping: false, slower: 1,
		};
	}

	#makeEntry(index: number): Entry {
		const zone = this.#zoneOf(index);
		const clock: Pick<Clock, 'monotonic'> = {monotonic: () => this.#queue.now};
		const servers: EntryServers = new EntryServers({
			zone,
			random: this.#decisionRandom,
			share: {
				othersOn: server => (this.#told.get(server) ?? 0) - (this.#toldBy.get(servers)?.get(server) ?? 0),
				noteChange() {
					// All loads are told together.
				},
			},
		});
		const records = this.#engines.map(({id, zone: engineZone}): ServerRecord => ({
			id, service, host: '127.0.0.1', port: 1, zone: engineZone, version: toId('v1'), slots: this.#shape.sheet.slots, state: 'ready', sequence: 1, isSilent: false,
		}));
		servers.take(records, {source: controlInstance, now: 0});
		return {
			zone, servers, latencies: new LatencyBook(clock), repeats: new RepeatBook(),
		};
	}

	#zoneOf(index: number): ZoneId {
		return toId<ZoneId>(`zone-${index % this.#shape.zones}`);
	}

	#tell(): void {
		const told = new Map<ServerId, number>();
		const toldBy = new Map<EntryServers, ReadonlyMap<ServerId, number>>();
		for (const {servers} of this.#entries) {
			const own = new Map(servers.loads);
			toldBy.set(servers, own);
			for (const [server, load] of own) {
				told.set(server, (told.get(server) ?? 0) + load);
			}
		}

		this.#told = told;
		this.#toldBy = toldBy;
		this.#queue.add(tellMilliseconds, () => {
			this.#tell();
		});
	}

	#arrive(): void {
		if (this.#queue.now > this.#shape.milliseconds) {
			return;
		}

		this.#send(this.#drawRequest());
		this.#result.requests++;
		this.#queue.add(exponential(1000 / this.#shape.requestsPerSecond, this.#loadRandom), () => {
			this.#arrive();
		});
	}

	#drawRequest(): Request {
		const {kinds, models} = this.#shape;
		const kind = this.#drawKind(kinds);
		const entry = this.#entries[Math.floor(this.#loadRandom() * this.#entries.length)]!;
		const subject = `${kind.name} ${Math.floor(this.#loadRandom() * kind.subjects)}`;
		const ownTokens = Math.ceil(exponential(kind.ownTokens, this.#loadRandom));
		const route = toId<Route['id']>(kind.name);
		return {
			kind, entry, subject, ownTokens, route, hardness: this.#loadRandom(), doubt: (this.#loadRandom() - 0.5) * 2 * opinionScatter, homeScope: this.#homeScope(entry, {
				kind, subject, ownTokens, route,
			}),
			arrivedAt: this.#queue.now, excluded: new Set(), model: models[0]!, sends: 0,
		};
	}

	#drawKind(kinds: readonly RequestKind[]): RequestKind {
		let left = this.#loadRandom() * kinds.reduce((sum, {weight}) => sum + weight, 0);
		for (const kind of kinds) {
			left -= kind.weight;
			if (left < 0) {
				return kind;
			}
		}

		return kinds.at(-1)!;
	}

	#homeScope({repeats}: Entry, {kind, subject, ownTokens, route}: Pick<Request, 'kind' | 'subject' | 'ownTokens' | 'route'>): HomeScope | undefined {
		const {homeScope} = this.#policy;
		if (homeScope === undefined || kind.sharedTokens === 0) {
			return undefined;
		}

		const repeatsOnRoute = repeats.of(route);
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
			service, isWanted: () => true, excluded, now, subject: homeScope === undefined ? undefined : {name: `${subject} ${model.id}`, homeScope},
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
	#reach(id: number, engine: Engine): void {
		const send = this.#sends.get(id);
		if (send === undefined) {
			return;
		}

		const {request: {model, kind, subject, ownTokens, entry}} = send;
		const isStopped = engine.slower === Number.POSITIVE_INFINITY;
		const parts = kind.sharedTokens === 0 ? [] : [{id: subject, tokens: kind.sharedTokens}];
		if (!isStopped && engine.engine.offer({
			id, model, parts, ownTokens, outputTokens: kind.outputTokens,
		})) {
			this.#work(engine);
			return;
		}

		if (isStopped) {
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
			send.engine.engine.cancel(id);
			this.#sendElsewhere(id);
		}
	}

	#work(engine: Engine): void {
		if (engine.isStepping || !engine.engine.isBusy || engine.slower === Number.POSITIVE_INFINITY) {
			return;
		}

		engine.isStepping = true;
		this.#queue.add(engine.slower * engine.engine.step(), () => {
			engine.isStepping = false;
			engine.engine.finishStep();
			this.#work(engine);
		});
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
			engine.engine.cancel(id);
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

	#beginFault(engine: Engine, slower: number): void {
		engine.slower = slower;
		if (slower === Number.POSITIVE_INFINITY) {
			for (const id of engine.engine.crash()) {
				this.#sendElsewhere(id);
			}
		}
	}
}
