import {
	type ModelId, type ServerId, type ServiceId, toId,
} from '@valehitch/core';
import {type PoolPicture, predictPoolWait} from '@valehitch/routing';
import {testRoute} from '../configuration/_test-configuration.js';
import {type Route, type RouteId} from '../configuration/routing-configuration.js';
import {seededRandom} from './_test-random.js';
import {EscalationDemand} from './escalation-demand.js';
import {LatencyEstimator} from './latency-estimator.js';
import {ModelCascade, type ModelCascadeContext} from './model-cascade.js';

/** How requests get their models: by the cascade without knowledge of the pool, by the largest model alone, or by what is known of the pool. */
export type ModelRule = 'cascade' | 'largest' | 'known-demand';

/** A load on a pool. */
export type CascadeLoad = {
	readonly rule: ModelRule;
	/** The share of the answers of the smallest model with a confidence below 50. */
	readonly escalationShare: number;
	/** The processing time that the cascade asks for, over what the pool has. */
	readonly load: number;
	/** The processing time and price of the smallest model, where those of the largest one are 3; 1 by default. */
	readonly smallestCost?: number;
	/** The number of entry instances; 1 by default. */
	readonly instances?: number;
	/** The share of the pictures of the pool that are lost; 0 by default. */
	readonly lostShare?: number;
	readonly seed?: number;
};

/** What one kind of callers got in the measured time. */
export type KindResult = {
	asked: number;
	inTime: number;
	/** The answers in time that are right. */
	right: number;
};

/** What callers and the pool got in the measured time. */
export type CascadeResult = {
	/** The kinds by priority. */
	readonly kinds: readonly [KindResult, KindResult, KindResult];
	/** The processing time of the sends, as a share of what the pool has. */
	poolShare: number;
	/** The price of all reads, where a thousand tokens by the largest model cost 3. */
	price: number;
	/** The models of all sends, in order. */
	readonly models: ModelId[];
};

type Kind = {
	readonly route: Route;
	readonly tokens: number;
	readonly perSecond: number;
};

type Request = {
	readonly kind: Kind;
	readonly result: KindResult | undefined;
	readonly confidence: number;
	readonly arrivedAt: number;
	readonly models: ModelCascade;
};

const [small, large] = [toId<ModelId>('small'), toId<ModelId>('large')];
const largestCost = 3;
const service = toId<ServiceId>('models');
const servers = Array.from({length: 8}, (_, index) => toId<ServerId>(`server-${index}`));
const tokensPerMillisecond = 66;
const stepMilliseconds = 4;
const durationMilliseconds = 60_000;
const warmUpMilliseconds = 20_000;
const pictureMilliseconds = 250;

function testKind(priority: number, targetLatency: number, {tokens, perSecond}: Pick<Kind, 'tokens' | 'perSecond'>): Kind {
	const route = testRoute({
		id: toId<RouteId>(`route-${priority}`), kind: 'streaming', priority, targetLatency, sizes: [small, large],
	});
	return {route, tokens, perSecond};
}

const kinds = [
	testKind(0, 1500, {tokens: 826, perSecond: 98}),
	testKind(1, 2000, {tokens: 2368, perSecond: 61}),
	testKind(2, 6000, {tokens: 11_992, perSecond: 44}),
] as const;

function processingOf(cost: number, tokens: number): number {
	return stepMilliseconds + (tokens * cost / tokensPerMillisecond);
}

/** Requests of three kinds, as many of each as its rate says, on eight servers that process prompts in order of arrival. */
class CascadeSimulation {
	readonly result: CascadeResult = {
		kinds: [{asked: 0, inTime: 0, right: 0}, {asked: 0, inTime: 0, right: 0}, {asked: 0, inTime: 0, right: 0}], poolShare: 0, price: 0, models: [],
	};

	readonly #load: Required<CascadeLoad>;
	readonly #random: () => number;
	readonly #events: Array<{readonly at: number; readonly run: () => void}> = [];
	readonly #busyUntil = new Map(servers.map(server => [server, 0]));
	readonly #contexts: readonly ModelCascadeContext[];
	#reading = new Map<ServerId, number>();
	#picturedAt = Number.NEGATIVE_INFINITY;
	#now = 0;

	constructor(load: CascadeLoad) {
		this.#load = {
			smallestCost: 1, instances: 1, lostShare: 0, seed: 1, ...load,
		};
		this.#random = seededRandom(this.#load.seed);
		this.#contexts = Array.from({length: this.#load.instances}, () => ({
			latencies: new LatencyEstimator({monotonic: () => this.#now}),
			bounds: {minimumConfidence: 50},
			escalations: this.#createDemand(),
			random: seededRandom(this.#load.seed + 1),
		}));
	}

	run(): CascadeResult {
		this.#showPool();
		this.#arrive();
		for (let event = this.#events.shift(); event !== undefined; event = this.#events.shift()) {
			this.#now = event.at;
			event.run();
		}

		return this.result;
	}

	#createDemand(): EscalationDemand {
		return new EscalationDemand({
			contentionAt: () => ({wait: this.#load.rule === 'known-demand' ? predictPoolWait(this.#picture, servers) : 0, target: 1500}),
		});
	}

	get #picture(): PoolPicture {
		return {
			age: this.#now - this.#picturedAt,
			workAt: server => ({reading: this.#reading.get(server) ?? 0, streams: 0, slowness: 1}),
			heldByOthers: [],
		};
	}

	#schedule(at: number, run: () => void): void {
		this.#events.splice(this.#events.findLastIndex(event => event.at <= at) + 1, 0, {at, run});
	}

	#showPool(): void {
		if (this.#load.lostShare === 0 || this.#contexts[0]!.random() >= this.#load.lostShare) {
			this.#reading = new Map([...this.#busyUntil].map(([server, until]) => [server, Math.max(0, until - this.#now)]));
			this.#picturedAt = this.#now;
		}

		if (this.#now < durationMilliseconds) {
			this.#schedule(this.#now + pictureMilliseconds, () => {
				this.#showPool();
			});
		}
	}

	#arrive(): void {
		if (this.#now > durationMilliseconds) {
			return;
		}

		this.#send(this.#createRequest());
		const perSecond = kinds.reduce((sum, kind) => sum + kind.perSecond, 0);
		const {smallestCost, escalationShare, load} = this.#load;
		const asked = kinds.reduce((sum, kind) => sum + (kind.perSecond * (processingOf(smallestCost, kind.tokens) + (escalationShare * processingOf(largestCost, kind.tokens)))), 0);
		const interval = asked / perSecond / (load * servers.length);
		this.#schedule(this.#now - (Math.log(1 - this.#random()) * interval), () => {
			this.#arrive();
		});
	}

	#createRequest(): Request {
		const {rule, escalationShare, smallestCost} = this.#load;
		const drawn = this.#random() * kinds.reduce((sum, {perSecond}) => sum + perSecond, 0);
		const kind = drawn < kinds[0].perSecond ? kinds[0] : (drawn < kinds[0].perSecond + kinds[1].perSecond ? kinds[1] : kinds[2]);
		const confidence = (this.#random() < escalationShare ? 0 : 50) + (50 * this.#random());
		const context = this.#contexts[Math.floor(this.#random() * this.#contexts.length)]!;
		const models = new ModelCascade(rule === 'known-demand' ? context : {...context, escalations: this.#createDemand()}, {
			route: kind.route, choosesModel: true, tokens: kind.tokens, service, areSendsScarce: rule === 'largest',
			offered: [{id: small, cost: smallestCost}, {id: large, cost: largestCost}],
		});
		const result = this.#now < warmUpMilliseconds ? undefined : this.result.kinds[kind.route.priority];
		if (result !== undefined) {
			result.asked++;
		}

		return {
			kind, result, confidence, models, arrivedAt: this.#now,
		};
	}

	#send(request: Request): void {
		const {kind, result, models, confidence, arrivedAt} = request;
		const [[server, busyUntil]] = [...this.#busyUntil].toSorted(([, one], [, other]) => one - other) as [[ServerId, number]];
		const model = models.current!;
		const cost = model === large ? largestCost : this.#load.smallestCost;
		const milliseconds = processingOf(cost, kind.tokens);
		const sentAt = this.#now;
		const firstEventAt = Math.max(sentAt, busyUntil) + milliseconds;
		this.#busyUntil.set(server, firstEventAt);
		this.result.models.push(model);
		if (result !== undefined) {
			this.result.poolShare += milliseconds / servers.length / (durationMilliseconds - warmUpMilliseconds);
			this.result.price += kind.tokens * cost / 1000;
		}

		this.#schedule(firstEventAt, () => {
			const larger = models.chooseLarger({confidence: model === large ? 100 : confidence, latency: this.#now - sentAt, age: this.#now - arrivedAt});
			if (larger !== undefined) {
				models.escalateTo(larger);
				this.#send(request);
			} else if (result !== undefined && this.#now - arrivedAt <= kind.route.targetLatency) {
				result.inTime++;
				result.right += model === large ? 1 : confidence / 100;
			}
		});
	}
}

/** Plays a load on a pool, with a simulated clock. */
export function playCascadeLoad(load: CascadeLoad): CascadeResult {
	return new CascadeSimulation(load).run();
}
