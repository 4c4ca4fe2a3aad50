import {type InstanceId, type RandomSource} from '@valehitch/core';

/** Options of {@linkcode RelaySelector}. */
export type RelaySelectorOptions = {
	readonly random: RandomSource;
	/** The backoff after the first failure, in milliseconds; 500 by default. It doubles with each further failure in a row. */
	readonly initialMilliseconds?: number;
	/** The maximum backoff, in milliseconds; 4000 by default. */
	readonly maximumMilliseconds?: number;
};

/** What to choose a relay from. */
export type RelayCandidates = {
	readonly candidates: readonly InstanceId[];
	/** The instances that have already failed for the request. */
	readonly excluded: ReadonlySet<InstanceId>;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

type RelayState = {
	open: number;
	failures: number;
	backoffUntil: number;
};

/**
Chooses the instances through which servers are reached that this instance cannot reach itself. It answers the load of an instance whose own links have failed: the one with the fewest connections of this instance goes first, so that no single instance takes over all of it.

@example
```ts
const relays = new RelaySelector({random});
const relay = relays.choose({candidates, excluded: new Set(), now});
```
*/
export class RelaySelector {
	readonly #options: Required<RelaySelectorOptions>;
	readonly #states = new Map<InstanceId, RelayState>();

	constructor(options: RelaySelectorOptions) {
		this.#options = {initialMilliseconds: 500, maximumMilliseconds: 4000, ...options};
	}

	/**
	Chooses a relay.

	@param choice The candidates.
	@returns The relay; undefined if all candidates are excluded or have failed recently.
	*/
	choose({candidates, excluded, now}: RelayCandidates): InstanceId | undefined {
		let best: {readonly instance: InstanceId; readonly open: number; readonly tie: number} | undefined;
		for (const instance of candidates) {
			const {open, backoffUntil} = this.#stateOf(instance);
			if (excluded.has(instance) || backoffUntil > now) {
				continue;
			}

			const tie = this.#options.random();
			if (best === undefined || open < best.open || (open === best.open && tie < best.tie)) {
				best = {instance, open, tie};
			}
		}

		return best?.instance;
	}

	/**
	Counts a connection through a relay, which shows that it works.

	@param instance The relay.
	@returns A function that ends the count, to be called when the connection closes.
	*/
	recordOpened(instance: InstanceId): () => void {
		const state = this.#stateOf(instance);
		this.#states.set(instance, state);
		state.failures = 0;
		state.backoffUntil = 0;
		state.open++;
		return () => {
			state.open--;
		};
	}

	/**
	Records that an instance could not serve as a relay.

	@param instance The instance.
	@param now Milliseconds on the monotonic clock.
	*/
	recordFailure(instance: InstanceId, now: number): void {
		const {initialMilliseconds, maximumMilliseconds} = this.#options;
		const state = this.#stateOf(instance);
		this.#states.set(instance, state);
		state.backoffUntil = now + Math.min(maximumMilliseconds, initialMilliseconds * (2 ** state.failures));
		state.failures++;
	}

	/**
	Forgets instances that are no longer candidates.

	@param candidates The instances to keep.
	*/
	retain(candidates: readonly InstanceId[]): void {
		for (const [instance, {open}] of this.#states) {
			if (open === 0 && !candidates.includes(instance)) {
				this.#states.delete(instance);
			}
		}
	}

	#stateOf(instance: InstanceId): RelayState {
		return this.#states.get(instance) ?? {open: 0, failures: 0, backoffUntil: 0};
	}
}
