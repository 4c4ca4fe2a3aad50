import {LruMap} from '@valehitch/core';

/** The limits of a windowed retry budget. */
export type WindowedRetryBudgetOptions = {
	/** The additional attempts allowed per first attempt in the window; 0.1 by default. */
	readonly ratio?: number;
	/** The additional attempts allowed per window without any traffic; 2 by default. */
	readonly minimumPerWindow?: number;
	/** The length of the window in milliseconds; 10,000 by default. */
	readonly windowMilliseconds?: number;
	/** The maximum number of keys; the least recently used one is evicted first; 4096 by default. */
	readonly maximumKeys?: number;
};

/** The attempts of one time slot. */
type TimeSlot = {
	/** The index of the slot, counted from the origin of the clock. */
	number: number;
	initial: number;
	additional: number;
};

/** The window slides in steps of one slot. */
const slotsPerWindow = 20;

/**
Limits the additional attempts per key to a ratio of the first attempts in a sliding time window.

Unlike with a token bucket, the whole unused budget of the window is available at once when a server is lost with many requests, while the limit still holds. Additional attempts are counted over one slot more than the window, and first attempts over at most the window, so that the limit holds for every window that ends with an additional attempt.

@example
```ts
const retries = new WindowedRetryBudget({ratio: 0.1, minimumPerWindow: 5});
retries.deposit('tag-small', now);
retries.withdraw('tag-small', now);
```
*/
export class WindowedRetryBudget {
	readonly #options: Required<WindowedRetryBudgetOptions>;
	readonly #slotsByKey: LruMap<string, readonly TimeSlot[]>;

	constructor(options: WindowedRetryBudgetOptions = {}) {
		this.#options = {
			ratio: 0.1, minimumPerWindow: 2, windowMilliseconds: 10_000, maximumKeys: 4096, ...options,
		};
		this.#slotsByKey = new LruMap(this.#options.maximumKeys);
	}

	/** The number of tracked keys. */
	get size(): number {
		return this.#slotsByKey.size;
	}

	/**
	Records a first attempt.

	@param key The key of the budget, such as a model.
	@param now Milliseconds on the monotonic clock.
	*/
	deposit(key: string, now: number): void {
		this.#currentSlot(key, now).initial++;
	}

	/**
	Requests an additional attempt, and records it if it is allowed.

	@param key The key of the budget, such as a model.
	@param now Milliseconds on the monotonic clock.
	@returns Whether the attempt is allowed.
	*/
	withdraw(key: string, now: number): boolean {
		const current = this.#currentSlot(key, now);
		const isAllowed = this.#allowsAdditional(key, current);
		if (isAllowed) {
			current.additional++;
		}

		return isAllowed;
	}

	/**
	Checks whether an additional attempt is allowed, without recording it.

	@param key The key of the budget, such as a model.
	@param now Milliseconds on the monotonic clock.
	@returns Whether the attempt would be allowed.
	*/
	allows(key: string, now: number): boolean {
		return this.#allowsAdditional(key, this.#currentSlot(key, now));
	}

	/**
	Restores an additional attempt that was withdrawn and not made, to the time slot from which it was withdrawn. Does nothing if the window no longer covers that slot.

	@param key The key of the budget, such as a model.
	@param withdrawnAt When the attempt was withdrawn, in milliseconds on the monotonic clock; each withdrawal is restored at most once.
	*/
	restore(key: string, withdrawnAt: number): void {
		const number = this.#slotNumber(withdrawnAt);
		const slot = this.#slotsByKey.peek(key)?.find(slot => slot.number === number);
		if (slot !== undefined && slot.additional > 0) {
			slot.additional--;
		}
	}

	#slotNumber(at: number): number {
		return Math.floor(at * slotsPerWindow / this.#options.windowMilliseconds);
	}

	#allowsAdditional(key: string, current: TimeSlot): boolean {
		const {ratio, minimumPerWindow} = this.#options;
		let initial = 0;
		let additional = 0;
		for (const slot of this.#slotsByKey.peek(key) ?? []) {
			initial += slot.number > current.number - slotsPerWindow ? slot.initial : 0;
			additional += slot.additional;
		}

		return additional + 1 <= (ratio * initial) + minimumPerWindow;
	}

	/** Returns the current slot, creating it if needed, and deletes slots that no window covers any more. */
	#currentSlot(key: string, now: number): TimeSlot {
		const number = this.#slotNumber(now);
		const slots = (this.#slotsByKey.peek(key) ?? []).filter(slot => slot.number >= number - slotsPerWindow);
		const last = slots.at(-1);
		const current = last?.number === number ? last : {number, initial: 0, additional: 0};
		if (current !== last) {
			slots.push(current);
		}

		this.#slotsByKey.set(key, slots);

		return current;
	}
}
