import {RecentMap} from '@valehitch/core';

/** How much a window allows. */
export type RetryWindowOptions = {
	/** Further attempts for each first attempt of the window; 0.1 by default. */
	readonly share?: number;
	/** Further attempts in the window that are allowed without any traffic; 2 by default. */
	readonly slack?: number;
	/** The length of the window in milliseconds; 10,000 by default. */
	readonly windowMilliseconds?: number;
	/** The most keys that are kept, the least recently used going first; 4096 by default. */
	readonly maximumKeys?: number;
};

/** The attempts of one slot of time. */
type Slot = {
	/** The number of the slot since the origin of the clock. */
	number: number;
	first: number;
	further: number;
};

/** The window moves on in steps of this part of it. */
const slotsOfWindow = 20;

/**
A budget of further attempts for each key: in any window of time, a share of the first attempts of that window.

Unlike a bucket of tokens, what quiet traffic did not use in the window is there at once when a server is lost with many requests, and the bound holds all the same. Further attempts are counted over one slot more than the window and first ones over no more than it, so that the bound holds for every window that ends with a further attempt.

@example
```ts
const retries = new RetryWindow({share: 0.1, slack: 5});
retries.deposit('tag-small', now);
retries.withdraw('tag-small', now);
```
*/
export class RetryWindow {
	readonly #options: Required<RetryWindowOptions>;
	readonly #keys: RecentMap<string, readonly Slot[]>;

	constructor(options: RetryWindowOptions = {}) {
		this.#options = {
			share: 0.1, slack: 2, windowMilliseconds: 10_000, maximumKeys: 4096, ...options,
		};
		this.#keys = new RecentMap(this.#options.maximumKeys);
	}

	/** How many keys are kept. */
	get size(): number {
		return this.#keys.size;
	}

	/**
	Counts a first attempt.

	@param key What the attempts belong to.
	@param now Milliseconds on the monotonic clock.
	*/
	deposit(key: string, now: number): void {
		this.#currentSlot(key, now).first++;
	}

	/**
	Asks for a further attempt.

	@param key What the attempts belong to.
	@param now Milliseconds on the monotonic clock.
	@returns Whether the window allows it; if so, it is counted.
	*/
	withdraw(key: string, now: number): boolean {
		const current = this.#currentSlot(key, now);
		const isAllowed = this.#hasRoom(key, current);
		if (isAllowed) {
			current.further++;
		}

		return isAllowed;
	}

	/**
	Tells whether a further attempt is allowed, without counting it.

	@param key What the attempts belong to.
	@param now Milliseconds on the monotonic clock.
	@returns Whether the window allows it.
	*/
	allows(key: string, now: number): boolean {
		return this.#hasRoom(key, this.#currentSlot(key, now));
	}

	#hasRoom(key: string, current: Slot): boolean {
		const {share, slack} = this.#options;
		let first = 0;
		let further = 0;
		for (const slot of this.#keys.peek(key) ?? []) {
			first += slot.number > current.number - slotsOfWindow ? slot.first : 0;
			further += slot.further;
		}

		return further + 1 <= (share * first) + slack;
	}

	/** The slot of this time; slots that no window reaches any more are dropped. */
	#currentSlot(key: string, now: number): Slot {
		const {windowMilliseconds} = this.#options;
		const number = Math.floor(now * slotsOfWindow / windowMilliseconds);
		const slots = (this.#keys.peek(key) ?? []).filter(slot => slot.number >= number - slotsOfWindow);
		const last = slots.at(-1);
		const current = last?.number === number ? last : {number, first: 0, further: 0};
		if (current !== last) {
			slots.push(current);
		}

		this.#keys.set(key, slots);

		return current;
	}
}
