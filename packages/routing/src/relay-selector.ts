import {type InstanceId, type RandomSource} from '@valehitch/core';

/** Options of {@linkcode RelaySelector}. */
export type RelaySelectorOptions = {
	readonly random: RandomSource;
	/** The backoff after the first failure, in milliseconds; 500 by default. It doubles with each further failure in a row. */
	readonly initialMilliseconds?: number;
	/** The maximum backoff, in milliseconds; 4000 by default. */
	readonly maximumMilliseconds?: number;
	/** How long the load that a relay has told counts, in milliseconds; 1000 by default. */
	readonly loadMilliseconds?: number;
};

/** What is known when a connection through a relay opens. */
export type OpenedRelay = {
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** The connections of all instances that are open through the relay, as it says; undefined if it does not say. */
	readonly told: number | undefined;
};

/** What to choose a relay from. */
export type RelayCandidates = {
	readonly candidates: readonly InstanceId[];
	/** The instances that have already failed for the request. */
	readonly excluded: ReadonlySet<InstanceId>;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** Whether instances that have failed recently are left out even if there are no others; false by default. They still go before those that are cut off. */
	readonly areFailedExcluded?: boolean;
	/** The candidates that are known to reach no server of some service; none by default. */
	readonly cutOff?: ReadonlySet<InstanceId>;
};

const noInstances: ReadonlySet<InstanceId> = new Set();

type RelayState = {
	open: number;
	failures: number;
	backoffUntil: number;
	told: number;
	toldUntil: number;
};

/**
Chooses the instances through which servers are reached that this instance cannot reach itself. It answers the load of instances whose own links have failed: the one with the fewest open connections goes first, as it last told or as this instance counts its own, so that no single instance takes over all of it. Those that failed recently come last, but before those that are known to be cut off themselves, which would refuse.

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
		this.#options = {
			initialMilliseconds: 500, maximumMilliseconds: 4000, loadMilliseconds: 1000, ...options,
		};
	}

	/**
	Chooses a relay.

	@param choice The candidates.
	@returns The relay; undefined if all candidates are left out.
	*/
	choose({candidates, excluded, now, areFailedExcluded = false, cutOff = noInstances}: RelayCandidates): InstanceId | undefined {
		const left = candidates.filter(instance => !excluded.has(instance));
		const connected = left.filter(instance => !cutOff.has(instance));
		const lost = left.filter(instance => cutOff.has(instance));
		return this.#leastLoaded(connected, now)
			?? (areFailedExcluded && lost.length === 0 ? undefined : this.#firstToRecover(connected))
			?? this.#leastLoaded(lost, now)
			?? (areFailedExcluded ? undefined : this.#firstToRecover(lost));
	}

	/**
	Counts a connection through a relay, which shows that it works.

	@param instance The relay.
	@param opened When it was opened, and the load of the relay.
	@returns A function that ends the count, to be called when the connection closes.
	*/
	recordOpened(instance: InstanceId, {now, told}: OpenedRelay): () => void {
		const state = this.#stateOf(instance);
		this.#states.set(instance, state);
		state.failures = 0;
		state.backoffUntil = 0;
		state.open++;
		if (told !== undefined) {
			state.told = told;
			state.toldUntil = now + this.#options.loadMilliseconds;
		}

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

	/** Returns the instance with the lowest load among those that have not failed recently, a random one among equals. */
	#leastLoaded(instances: readonly InstanceId[], now: number): InstanceId | undefined {
		let best: {readonly instance: InstanceId; readonly load: number; readonly tie: number} | undefined;
		for (const instance of instances) {
			const {open, told, toldUntil, backoffUntil} = this.#stateOf(instance);
			if (backoffUntil > now) {
				continue;
			}

			const load = toldUntil > now ? Math.max(open, told) : open;
			const tie = this.#options.random();
			if (best === undefined || load < best.load || (load === best.load && tie < best.tie)) {
				best = {instance, load, tie};
			}
		}

		return best?.instance;
	}

	/** Returns the instance whose backoff ends first. */
	#firstToRecover(instances: readonly InstanceId[]): InstanceId | undefined {
		let first: {readonly instance: InstanceId; readonly backoffUntil: number} | undefined;
		for (const instance of instances) {
			const {backoffUntil} = this.#stateOf(instance);
			first = first === undefined || backoffUntil < first.backoffUntil ? {instance, backoffUntil} : first;
		}

		return first?.instance;
	}

	#stateOf(instance: InstanceId): RelayState {
		return this.#states.get(instance) ?? {
			open: 0, failures: 0, backoffUntil: 0, told: 0, toldUntil: 0,
		};
	}
}
