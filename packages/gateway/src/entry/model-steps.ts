import {type ModelId} from '@valehitch/core';
import {type Route} from '../configuration/routing-configuration.js';
import {chooseNextModel} from './choose-next-model.js';
import {type EntryBounds} from './entry-context.js';
import {type LatencyBook} from './latency-book.js';
import {type SilenceBounds} from './send-attempt.js';

/** What decides on a larger model. */
export type LargerModelOptions = {
	/** The model's own opinion of its answer, from 0 to 100; undefined where it gives none. */
	readonly confidence: number | undefined;
	/** How long this send took to its head, in milliseconds. */
	readonly latency: number;
	/** How long the request has been here, in milliseconds. */
	readonly age: number;
};

/** What the steps work with. */
export type ModelStepsContext = {
	readonly latencies: LatencyBook;
	readonly bounds: Pick<EntryBounds, 'leastConfidence'>;
};

/** The share of the target latency after which a silent server is given up for another. */
const silentShare = 0.75;
/** How many times its usual time a server of a large model may take in any case: above the scatter under load. */
const silentFactor = 4;
/** How many times its usual time a server of a fast model may take: the longest prompts take four times as long as the mean, and wait for others. */
const fastSilentFactor = 8;
/** No server is given up earlier, in milliseconds: a pause of the engine or a lost packet is not an end. */
const leastSilentMilliseconds = 500;
/** The share of a plain route's timeout after which a silent server is given up. */
const plainSilentShare = 0.4;
/** The time to the first event of a model before any was seen, as a share of the target latency. */
const unknownLatencyShare = 0.35;
/** The time of one unit of work, in milliseconds: that of a short prompt on a small model. */
const workUnitMilliseconds = 100;

/**
The models of one request, smallest first, and what their usual times say about a send.

@example
```ts
const models = new ModelSteps(context, {route, choosesModel: true});
models.current;
```
*/
export class ModelSteps {
	readonly #context: ModelStepsContext;
	readonly #route: Route;
	#current: ModelId | undefined;

	constructor(context: ModelStepsContext, {route, choosesModel}: {readonly route: Route; readonly choosesModel: boolean}) {
		this.#context = context;
		this.#route = route;
		this.#current = choosesModel ? route.sizes[0] : undefined;
	}

	/** The model of the next send; undefined where the caller named it or there is none. */
	get current(): ModelId | undefined {
		return this.#current;
	}

	/** The work of a send, by the time that the model usually takes to its first event. */
	get work(): number {
		const usual = this.#usual(this.#current, workUnitMilliseconds);
		return this.#current === undefined ? 1 : Math.max(1, usual / workUnitMilliseconds);
	}

	/** The times after which a server that sends no head is given up for another, in milliseconds: one that is not heard of at all, and any. */
	get silence(): Omit<SilenceBounds, 'isHeard'> {
		if (this.#route.kind === 'safe') {
			const quiet = plainSilentShare * this.#route.timeout;
			return {quiet, longest: quiet};
		}

		const {targetLatency} = this.#route;
		const usual = this.#usual(this.#current, targetLatency);
		const longest = Math.max(silentShare * targetLatency, silentFactor * this.#usual(this.#current, 0));
		return {longest, quiet: Math.min(longest, Math.max(leastSilentMilliseconds, fastSilentFactor * usual))};
	}

	/**
	Learns from an answer, and tells which model should answer in place of the one that did.

	@param options What decides.
	@returns The larger model; undefined where the answer is good enough.
	*/
	larger({confidence, latency, age}: LargerModelOptions): ModelId | undefined {
		const {sizes, targetLatency} = this.#route;
		const largest = sizes.at(-1);
		if (this.#current === undefined || largest === undefined) {
			return undefined;
		}

		this.#context.latencies.note(this.#key(this.#current), latency);
		return chooseNextModel({
			sizes,
			current: this.#current,
			confidence,
			leastConfidence: this.#context.bounds.leastConfidence,
			timeLeft: targetLatency - age,
			expectedTime: this.#usual(largest, unknownLatencyShare * targetLatency),
		});
	}

	/** Moves on to a larger model. */
	take(model: ModelId): void {
		this.#current = model;
	}

	#usual(model: ModelId | undefined, fallback: number): number {
		return this.#context.latencies.expected(this.#key(model), fallback);
	}

	#key(model: ModelId | undefined): string {
		return `${this.#route.id} ${model ?? ''}`;
	}
}
