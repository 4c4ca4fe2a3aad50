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

/** Which request takes the steps. */
export type ModelStepsOptions = {
	readonly route: Route;
	readonly choosesModel: boolean;
	/** The tokens of the prompt; 0 where there is none. */
	readonly tokens: number;
};

/** What the steps work with. */
export type ModelStepsContext = {
	readonly latencies: LatencyBook;
	readonly bounds: Pick<EntryBounds, 'leastConfidence'>;
};

/** How many times its expected time a server that is reached may take: a short prompt that waits behind long ones is sooner answered elsewhere, a long one that is being read is not. */
const silentFactor = 8;
/** The same on a kept connection, which may be silent for good while the server works. */
const keptSilentFactor = 4;
/** After this time without a word of a server it is looked whether it is reached at all, in milliseconds: a pause of the engine or a lost packet is not an end. */
const quietMilliseconds = 500;
/** The share of a plain route's timeout after which a silent server is given up. */
const plainSilentShare = 0.4;
/** The time to the first event of a model before any was seen, as a share of the target latency. */
const unknownLatencyShare = 0.35;
/** The time of one unit of work, in milliseconds: that of a short prompt on a small model. */
const workUnitMilliseconds = 100;

/**
The models of one request, smallest first, and what their expected times say about a send.

@example
```ts
const models = new ModelSteps(context, {route, choosesModel: true, tokens: 1460});
models.current;
```
*/
export class ModelSteps {
	readonly #context: ModelStepsContext;
	readonly #route: Route;
	readonly #tokens: number;
	#current: ModelId | undefined;

	constructor(context: ModelStepsContext, {route, choosesModel, tokens}: ModelStepsOptions) {
		this.#context = context;
		this.#route = route;
		this.#tokens = tokens;
		this.#current = choosesModel ? route.sizes[0] : undefined;
	}

	/** The model of the next send; undefined where the caller named it or there is none. */
	get current(): ModelId | undefined {
		return this.#current;
	}

	/** The work of a send, by the time that the model is expected to take to its first event. */
	get work(): number {
		const expected = this.#expected(this.#current, workUnitMilliseconds);
		return this.#current === undefined ? 1 : Math.max(1, expected / workUnitMilliseconds);
	}

	/** The times after which a server that sends no head is given up for another, in milliseconds: one that is neither heard of nor reached, and any. */
	get silence(): Omit<SilenceBounds, 'isHeard' | 'isReached'> {
		if (this.#route.kind === 'safe') {
			const quiet = plainSilentShare * this.#route.timeout;
			return {quiet, longest: quiet, longestKept: quiet};
		}

		const expected = this.#expected(this.#current, this.#route.targetLatency / silentFactor);
		return {
			quiet: quietMilliseconds,
			longest: Math.max(quietMilliseconds, silentFactor * expected),
			longestKept: Math.max(quietMilliseconds, keptSilentFactor * expected),
		};
	}

	/**
	Learns from an answer, and tells which model should answer in place of the one that did.

	@param options What decides.
	@returns The larger model; undefined where the answer is good enough.
	*/
	larger({confidence, latency, age}: LargerModelOptions): ModelId | undefined {
		const {latencies, bounds: {leastConfidence}} = this.#context;
		const {sizes, targetLatency} = this.#route;
		const largest = sizes.at(-1);
		if (this.#current === undefined || largest === undefined) {
			return undefined;
		}

		latencies.note(this.#key(this.#current), {milliseconds: latency, tokens: this.#tokens});
		return chooseNextModel({
			sizes,
			current: this.#current,
			confidence,
			leastConfidence,
			timeLeft: targetLatency - age,
			// By the mean prompt: the step is held back for the load, and a long prompt that is late is still better answered well.
			expectedTime: latencies.expected(this.#key(largest), {fallback: unknownLatencyShare * targetLatency}),
		});
	}

	/**
	Goes back to the model of an answer that was kept.

	@param model The model.
	*/
	takeBack(model: ModelId | undefined): void {
		this.#current = model;
	}

	/** Moves on to a larger model. */
	take(model: ModelId): void {
		this.#current = model;
	}

	#expected(model: ModelId | undefined, fallback: number): number {
		return this.#context.latencies.expected(this.#key(model), {tokens: this.#tokens, fallback});
	}

	#key(model: ModelId | undefined): string {
		return `${this.#route.id} ${model ?? ''}`;
	}
}
