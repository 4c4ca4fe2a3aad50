import {type ChatMessage} from '../fake-answer.js';
import {type RequestKind, type Workload, type WorkloadWorkspace} from './workload.js';

/** One request of a run. */
export type PlannedRequest = {
	/** Names it over all its sends; the idempotency key of a call. */
	readonly id: string;
	/** Milliseconds after the start of the run. */
	readonly atMilliseconds: number;
	readonly kind: RequestKind;
	readonly workspace: WorkloadWorkspace;
	readonly messages: readonly ChatMessage[];
	/** Chooses the entry instance. */
	readonly turn: number;
	/** Decides whether and how the answer is rated, from 0 to 1. */
	readonly ratingDraw: number;
};

/** What a schedule depends on besides the workload. */
export type ScheduleOptions = {
	readonly seconds: number;
	readonly seed: number;
};

const millisecondsPerSecond = 1000;
const multiplier = 48_271;
const modulus = (2 ** 31) - 1;

/**
Plans the requests of a run: arrivals of a Poisson process, independent of the answers.

@param workload The workload.
@param options How long, and the seed; the same seed gives the same requests.
@returns The requests in the order of their arrival.
@example
```ts
planRequests(workload, {seconds: 10, seed: 1});
```
*/
export function planRequests(workload: Workload, {seconds, seed}: ScheduleOptions): readonly PlannedRequest[] {
	const random = randomFrom(seed);
	const planned: PlannedRequest[] = [];
	let at = 0;
	for (;;) {
		at -= Math.log(random()) * millisecondsPerSecond / workload.requestsPerSecond;
		if (at >= seconds * millisecondsPerSecond) {
			return planned;
		}

		const number = planned.length;
		const kind = drawn(workload.kinds, random());
		planned.push({
			id: `${workload.name}-${seed}-${number}`,
			atMilliseconds: at,
			kind,
			workspace: drawn(workload.workspaces, random()),
			messages: [{role: 'user', content: `Request ${number} ${'word '.repeat(kind.promptWords)}`}],
			turn: Math.floor(random() * modulus),
			ratingDraw: random(),
		});
	}
}

function drawn<Item extends {readonly share: number}>(items: readonly [Item, ...Item[]] | readonly Item[], draw: number): Item {
	let rest = draw;
	for (const item of items) {
		rest -= item.share;
		if (rest < 0) {
			return item;
		}
	}

	const last = items.at(-1);
	if (last === undefined) {
		throw new RangeError('Got no items, wanted at least one');
	}

	return last;
}

/**
Makes a seeded source of numbers above 0 and below 1: the generator of Park and Miller (1988).

@param seed A whole number; its remainder decides.
@returns The source.
@example
```ts
const random = randomFrom(1);
```
*/
export function randomFrom(seed: number): () => number {
	let state = 1 + (Math.abs(Math.trunc(seed)) % (modulus - 1));
	return () => {
		state = (state * multiplier) % modulus;
		return state / modulus;
	};
}
