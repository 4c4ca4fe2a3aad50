import {type ChatMessage} from '../fake-answer.js';
import {type RequestKind, type Workload, type WorkloadWorkspace} from './workload.js';

/** One request of a run. */
export type PlannedRequest = {
	/** Identifies the request over all its attempts; also its idempotency key. */
	readonly id: string;
	/** The send time, in milliseconds after the start of the run. */
	readonly atMilliseconds: number;
	readonly kind: RequestKind;
	readonly workspace: WorkloadWorkspace;
	readonly messages: readonly ChatMessage[];
	/** A random integer that selects the entry instance. */
	readonly entryDraw: number;
	/** A random number from 0 to 1 that determines whether and how the response is rated. */
	readonly ratingDraw: number;
};

/** Options of `planRequests`. */
export type ScheduleOptions = {
	readonly seconds: number;
	readonly seed: number;
};

const millisecondsPerSecond = 1000;
const multiplier = 48_271;
const modulus = (2 ** 31) - 1;

/**
Plans the requests of a run as an open-loop Poisson arrival process: arrivals do not depend on responses.

@param workload The workload.
@param options The duration and the seed; the same seed gives the same requests.
@returns The requests in order of arrival.
@example
```ts
planRequests(workload, {seconds: 10, seed: 1});
```
*/
export function planRequests(workload: Workload, {seconds, seed}: ScheduleOptions): readonly PlannedRequest[] {
	const random = parkMillerRandom(seed);
	const planned: PlannedRequest[] = [];
	let at = 0;
	for (;;) {
		at -= Math.log(random()) * millisecondsPerSecond / workload.requestsPerSecond;
		if (at >= seconds * millisecondsPerSecond) {
			return planned;
		}

		const number = planned.length;
		const kind = drawByShare(workload.kinds, random());
		planned.push({
			id: `${workload.name}-${seed}-${number}`,
			atMilliseconds: at,
			kind,
			workspace: drawByShare(workload.workspaces, random()),
			messages: [{role: 'user', content: `Request ${number} ${'word '.repeat(kind.promptWords)}`}],
			entryDraw: Math.floor(random() * modulus),
			ratingDraw: random(),
		});
	}
}

function drawByShare<Item extends {readonly share: number}>(items: readonly [Item, ...Item[]] | readonly Item[], draw: number): Item {
	let remaining = draw;
	for (const item of items) {
		remaining -= item.share;
		if (remaining < 0) {
			return item;
		}
	}

	const last = items.at(-1);
	if (last === undefined) {
		throw new RangeError('Cannot draw from an empty list');
	}

	return last;
}

/**
Creates a seeded generator of random numbers between 0 and 1, both exclusive, after Park and Miller (1988).

@param seed An integer; it is reduced modulo 2^31 - 2.
@returns The generator.
@example
```ts
const random = parkMillerRandom(1);
```
*/
export function parkMillerRandom(seed: number): () => number {
	let state = 1 + (Math.abs(Math.trunc(seed)) % (modulus - 1));
	return () => {
		state = (state * multiplier) % modulus;
		return state / modulus;
	};
}
