import {LruMap} from '@valehitch/core';

/** An operator sends an order again within this time; a later one is another order. */
const resendMilliseconds = 10_000;
/** The number of orders that are remembered. */
const maximumOrders = 64;

type Wait = {
	readonly firstAt: number;
	readonly lastAt: number;
};

/**
Tracks how long orders that could not be committed have been sent again.

@example
```ts
const waits = new OrderWaits();
waits.record('summaries v2', 0); // 0
waits.record('summaries v2', 4000); // 4000
```
*/
export class OrderWaits {
	readonly #waits = new LruMap<string, Wait>(maximumOrders);

	/**
	Records that an order was received.

	@param order Identifies the order.
	@param now Milliseconds on the monotonic clock.
	@returns The time since it was first received, in milliseconds.
	*/
	record(order: string, now: number): number {
		const known = this.#waits.peek(order);
		const firstAt = known !== undefined && now - known.lastAt <= resendMilliseconds ? known.firstAt : now;
		this.#waits.set(order, {firstAt, lastAt: now});
		return now - firstAt;
	}
}
