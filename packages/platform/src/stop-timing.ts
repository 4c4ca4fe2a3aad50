/** How a stop divides its grace period, in milliseconds from its begin. */
export type StopTiming = {
	/** When all connections are closed. */
	readonly closeAfter: number;
	/** When idle connections begin to be closed: the load balancer has removed the instance by then. */
	readonly drainAfter: number;
};

/** The time in which the load balancer removes an instance that is not ready, in milliseconds: it checks once a second and removes an instance after two failed checks. */
const removalMilliseconds = 2600;
/** The most of the grace period that is reserved for closing connections, in milliseconds. */
const closeMarginMilliseconds = 700;
/** The same as a share of the grace period, so that short ones are used too. */
const closeMarginShare = 1 / 8;

/**
Divides the grace period of a stop between the requests in progress and the closing of their connections.

@param gracePeriod The time after which the process is killed, in milliseconds.
@returns The times.
@example
```ts
stopTiming(8000).closeAfter; // 7300
```
*/
export function stopTiming(gracePeriod: number): StopTiming {
	const closeAfter = gracePeriod - Math.min(closeMarginMilliseconds, closeMarginShare * gracePeriod);
	return {closeAfter, drainAfter: Math.min(removalMilliseconds, closeAfter)};
}
