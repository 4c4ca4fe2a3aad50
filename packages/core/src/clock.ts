/**
The two clocks a module may ask for; passed in, so that tests can set them.

@example
```ts
const clock: Clock = {now: () => new Date(0), monotonic: () => 0};
```
*/
export type Clock = {
	/** The wall-clock time; may jump. */
	readonly now: () => Date;
	/** Milliseconds since an arbitrary start; never goes back. Leases and timeouts use it. */
	readonly monotonic: () => number;
};

/** A source of random numbers, each from 0 (included) to 1 (excluded). */
export type RandomSource = () => number;
