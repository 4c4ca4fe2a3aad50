import {type ModelId, type RandomSource, type ServiceId} from '@valehitch/core';
import {
	chooseFirstModel, type FirstModelReason, type ModelDemand, priceEscalation,
} from '@valehitch/routing';
import {type OfferedModel, type Route} from '../configuration/routing-configuration.js';
import {chooseNextModel, pricedThreshold} from './choose-next-model.js';
import {type EntryLimits} from './entry-context.js';
import {type EscalationDemand} from './escalation-demand.js';
import {type LatencyEstimator} from './latency-estimator.js';

/** Options for the choice of a larger model. */
export type EscalationOptions = {
	/** The model's own confidence in its answer, from 0 to 100; undefined if it reports none. */
	readonly confidence: number | undefined;
	/** The time from the send to the head of its answer, in milliseconds. */
	readonly latency: number;
	/** The time since the request arrived, in milliseconds. */
	readonly age: number;
};

/** Options of {@linkcode ModelCascade}. */
export type ModelCascadeOptions = {
	readonly route: Route;
	readonly choosesModel: boolean;
	/** The length of the prompt, in tokens; 0 if there is no prompt. */
	readonly tokens: number;
	/** Whether the servers allow few sends; the cascade then begins with the largest model, since a second send of this request would be the only one of another request. False by default. */
	readonly areSendsScarce?: boolean;
	/** The service whose servers get the request. */
	readonly service: ServiceId;
	/** The models that the service offers, with their prices; none by default. */
	readonly offered?: readonly OfferedModel[];
	/** The priority of the request, that of the route by default; 0 is the most urgent. */
	readonly priority?: number;
};

/** The part of the context that a cascade uses. */
export type ModelCascadeContext = {
	readonly latencies: LatencyEstimator;
	readonly bounds: Pick<EntryLimits, 'minimumConfidence'>;
	readonly escalations: EscalationDemand;
	readonly random: RandomSource;
};

/** The estimated latency of the first event of a model without samples, as a share of the target latency. */
const defaultLatencyShare = 0.35;
/** The expected time to the first event of a model without samples, as a share of the target latency. */
const defaultExpectedShare = 0.125;
/** The duration of one unit of load, in milliseconds: that of a short prompt on a small model. */
const loadUnitMilliseconds = 100;

/**
The cascade of models for one request, from the smallest to the largest, with the load of a send derived from the expected latency.

@example
```ts
const models = new ModelCascade(context, {route, choosesModel: true, tokens: 1460});
models.current;
```
*/
export class ModelCascade {
	/** Why the request begins with its model; undefined if there is no choice. */
	readonly firstReason: FirstModelReason | undefined;
	readonly #context: ModelCascadeContext;
	readonly #route: Route;
	readonly #tokens: number;
	readonly #offered: readonly OfferedModel[];
	readonly #service: ServiceId;
	readonly #priority: number;
	#current: ModelId | undefined;

	constructor(context: ModelCascadeContext, options: ModelCascadeOptions) {
		const {route, choosesModel, tokens, areSendsScarce = false, service, offered = [], priority = route.priority} = options;
		this.#context = context;
		this.#route = route;
		this.#tokens = tokens;
		this.#service = service;
		this.#offered = offered;
		this.#priority = priority;
		this.firstReason = choosesModel && !areSendsScarce && route.sizes.length > 1 ? this.#chooseFirst() : undefined;
		const isLargest = areSendsScarce || this.firstReason === 'most-escalate';
		this.#current = choosesModel ? route.sizes.at(isLargest ? -1 : 0) : undefined;
	}

	/** The model of the next send; undefined if the caller chose it or the request needs none. */
	get current(): ModelId | undefined {
		return this.#current;
	}

	/** The load of a send, derived from the expected latency of the model's first event, in units of a short request. */
	get load(): number {
		const expected = this.#estimate(this.#current, loadUnitMilliseconds);
		return this.#current === undefined ? 1 : Math.max(1, expected / loadUnitMilliseconds);
	}

	/** The expected latency of the first event at an idle server, in milliseconds; undefined if nothing is known of the model. */
	get calm(): number | undefined {
		const calm = this.#context.latencies.calm(this.#key(this.#current), {tokens: this.#tokens, fallback: 0});
		return calm > 0 ? calm : undefined;
	}

	/** The expected time to the first event, in milliseconds. */
	get expected(): number {
		return this.#estimate(this.#current, this.#route.targetLatency * defaultExpectedShare);
	}

	/**
	Records the latency of an answer, and chooses the model that the request escalates to, if any.

	@param options The confidence and the latency of the answer.
	@returns The larger model; undefined if the answer is good enough.
	*/
	chooseLarger({confidence, latency, age}: EscalationOptions): ModelId | undefined {
		const {latencies, bounds: {minimumConfidence}} = this.#context;
		const {sizes, targetLatency} = this.#route;
		const largest = sizes.at(-1);
		if (this.#current === undefined || largest === undefined) {
			return undefined;
		}

		latencies.record(this.#key(this.#current), {milliseconds: latency, tokens: this.#tokens});
		if (this.#current === largest) {
			return undefined;
		}

		if (this.#current === sizes[0]) {
			this.#recordConfidence(confidence);
		}

		// A sure answer escalates at no price, and the price takes a look at all servers.
		if (confidence === undefined || confidence >= minimumConfidence) {
			return undefined;
		}

		return chooseNextModel({
			sizes,
			current: this.#current,
			confidence,
			minimumConfidence,
			timeLeft: targetLatency - age,
			// Estimated for the mean prompt length: escalation is limited to bound the load, and for a long prompt a good answer is worth a delay.
			expectedLatency: latencies.estimate(this.#key(largest), {fallback: defaultLatencyShare * targetLatency}),
			price: this.#price,
		});
	}

	/**
	Returns to the model of a fallback answer.

	@param model The model.
	*/
	restore(model: ModelId | undefined): void {
		this.#current = model;
	}

	/** Escalates to a larger model. */
	escalateTo(model: ModelId): void {
		this.#current = model;
	}

	#chooseFirst(): FirstModelReason {
		const {escalations, random, bounds: {minimumConfidence}} = this.#context;
		const known = escalations.forRoute(this.#route.id);
		const reason = chooseFirstModel({
			escalationShare: known.confidences.shareBelow(pricedThreshold(minimumConfidence, this.#price)),
			smallest: this.#demandOf(this.#route.sizes.at(0), 0),
			largest: this.#demandOf(this.#route.sizes.at(-1), Number.POSITIVE_INFINITY),
			isLargestInUse: known.isLargestInUse,
			random,
		});
		known.isLargestInUse = reason !== 'few-escalate';
		return reason;
	}

	#recordConfidence(confidence: number | undefined): void {
		const {escalations, bounds: {minimumConfidence}} = this.#context;
		escalations.forRoute(this.#route.id).confidences.record(confidence);
		if (confidence !== undefined && confidence < minimumConfidence) {
			escalations.recordWanted(this.#largestMilliseconds);
		}
	}

	/** The price of a read by the largest model, as a share of the value of a right answer. */
	get #price(): number {
		const {escalations} = this.#context;
		const relativeDemand = escalations.relativeTo(this.#largestMilliseconds);
		return priceEscalation({...escalations.contentionAt(this.#service), relativeDemand, priority: this.#priority});
	}

	get #largestMilliseconds(): number {
		return this.#demandOf(this.#route.sizes.at(-1), defaultLatencyShare * this.#route.targetLatency).milliseconds;
	}

	#demandOf(model: ModelId | undefined, fallback: number): ModelDemand {
		return {
			milliseconds: this.#context.latencies.calm(this.#key(model), {tokens: this.#tokens, fallback}),
			price: this.#offered.find(({id}) => id === model)?.cost,
		};
	}

	#estimate(model: ModelId | undefined, fallback: number): number {
		return this.#context.latencies.estimate(this.#key(model), {tokens: this.#tokens, fallback});
	}

	#key(model: ModelId | undefined): string {
		return `${this.#route.id} ${model ?? ''}`;
	}
}
