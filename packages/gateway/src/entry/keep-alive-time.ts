/** The time between a server's own timeout and the last moment at which its idle connection is used, in milliseconds, so that a request never crosses the close of its connection on the way. */
export const keepAliveMarginMilliseconds = 1000;
/** The longest time for which a connection may be idle, in milliseconds. It is shorter than the usual idle timeouts of servers, which are a few seconds, and bounds how many idle connections a cut leaves behind. */
export const maximumIdleMilliseconds = 1500;

const timeoutPattern = /(?:^|,)\s*timeout\s*=\s*"?(\d{1,9})"?\s*(?:,|$)/iv;
const millisecondsPerSecond = 1000;

/**
Returns how long a connection may be idle before it must not be used any more, by the `Keep-Alive` header of its last answer.

@param header The value of the header; undefined if there is none.
@returns Milliseconds; 0 if the connection must not be used again.
@example
```ts
keepAliveTime('timeout=2, max=100'); // 1000
```
*/
export function keepAliveTime(header: string | undefined): number {
	const seconds = timeoutPattern.exec(header ?? '')?.[1];
	if (seconds === undefined) {
		return maximumIdleMilliseconds;
	}

	const stated = (Number(seconds) * millisecondsPerSecond) - keepAliveMarginMilliseconds;
	return Math.min(maximumIdleMilliseconds, Math.max(0, stated));
}
