import {LruMap, type ServiceId} from '@valehitch/core';
import {ConfidenceDistribution} from '@valehitch/routing';
import {type RouteId} from '../configuration/routing-configuration.js';
import {type PoolContention} from './pool-contention.js';

/** What is known of the escalations of a route. */
export type RouteEscalations = {
	/** The confidence of the answers of the smallest model. */
	readonly confidences: ConfidenceDistribution;
	/** Whether the latest request began with the largest model. */
	isLargestInUse: boolean;
};

/** Options of {@linkcode EscalationDemand}. */
export type EscalationDemandOptions = {
	/** Returns the current contention for the servers of a service. */
	readonly contentionAt: (service: ServiceId) => PoolContention;
};

/** The maximum number of routes that are known, after which the least recently used one is forgotten. */
const maximumRoutes = 32;
/** The weight of the latest prompt in the mean processing time. */
const meanWeight = 0.02;

/**
The escalations of all routes of an instance: how sure the smallest models are, how long the prompts that want a larger model take, and how contended the servers are.

@example
```ts
const demand = new EscalationDemand({contentionAt: () => ({wait: 0, target: 1500})});
demand.forRoute(route.id).confidences.record(31);
```
*/
export class EscalationDemand {
	/** Returns the current contention for the servers of a service. */
	readonly contentionAt: (service: ServiceId) => PoolContention;
	readonly #routes = new LruMap<RouteId, RouteEscalations>(maximumRoutes);
	#meanMilliseconds: number | undefined;

	constructor({contentionAt}: EscalationDemandOptions) {
		this.contentionAt = contentionAt;
	}

	/**
	Returns what is known of a route, creating it if necessary.

	@param route The route.
	@returns The escalations, which also take further answers.
	*/
	forRoute(route: RouteId): RouteEscalations {
		return this.#routes.getOrCreate(route, () => ({confidences: new ConfidenceDistribution(), isLargestInUse: false}));
	}

	/**
	Records a prompt that wants the largest model.

	@param milliseconds Its processing time by that model without queueing.
	*/
	recordWanted(milliseconds: number): void {
		const mean = this.#meanMilliseconds ?? milliseconds;
		this.#meanMilliseconds = mean + (meanWeight * (milliseconds - mean));
	}

	/**
	Compares a prompt with those that want the largest model.

	@param milliseconds Its processing time by that model without queueing.
	@returns The multiple of the mean; 1 if none has been recorded.
	*/
	relativeTo(milliseconds: number): number {
		return this.#meanMilliseconds === undefined || this.#meanMilliseconds === 0 ? 1 : milliseconds / this.#meanMilliseconds;
	}
}
