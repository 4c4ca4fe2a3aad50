/**
The wall clock and the monotonic clock. Passed as a dependency so that tests can control time.

@example
```ts
const clock: Clock = {now: () => new Date(0), monotonic: () => 0};
```
*/
export type Clock = {
	/** Returns the wall-clock time, which may jump. */
	readonly now: () => Date;
	/** Returns the milliseconds since an arbitrary origin. Never goes back. Used for leases and timeouts. */
	readonly monotonic: () => number;
};

/** A source of random numbers in [0, 1). */
export type RandomSource = () => number;
