/** The part of a rate limit that one grantor of leases may grant. */
export type RateLimitPart = {
	/** The number of sends per window; 0 if the limit is too low to be divided. */
	readonly share: number;
	/** The window over which the sends are counted, in milliseconds. */
	readonly window: number;
};

/** Options of {@linkcode divideRateLimit}. */
export type DivideRateLimitOptions = {
	/** The number of control instances that grant leases. */
	readonly grantors: number;
};

/** The window up to which the sends of a part may be more than one, in milliseconds, so that a burst of all parts stays short. */
const targetWindowMilliseconds = 3000;
/** With fewer grantors, one part is kept free for one that is being replaced while its successor grants already. Among more, its part is a small excess. */
const grantorsWithoutSpare = 3;
/** The longest window, in milliseconds. A limit that allows no whole send for each grantor in this time is not used. */
const maximumWindowMilliseconds = 60_000;
const millisecondsPerSecond = 1000;

/**
Divides a rate limit into equal parts of whole sends, by a window that is as long as that takes. It answers the load of a server that takes few requests per second from many instances.

@param requestsPerSecond The limit.
@param options The number of grantors.
@returns The part of each grantor.
@example
```ts
divideRateLimit(1.5, {grantors: 3}); // {share: 1, window: 2000}
```
*/
export function divideRateLimit(requestsPerSecond: number, {grantors}: DivideRateLimitOptions): RateLimitPart {
	const parts = grantors < grantorsWithoutSpare ? grantors + 1 : grantors;
	const share = Math.max(1, Math.floor(requestsPerSecond * targetWindowMilliseconds / millisecondsPerSecond / parts));
	const window = Math.ceil(share * parts * millisecondsPerSecond / requestsPerSecond);
	return window <= maximumWindowMilliseconds ? {share, window} : {share: 0, window: maximumWindowMilliseconds};
}
