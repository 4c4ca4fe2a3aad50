/** The part of a caller's patience that a request waits for what an instance lacks right after a start, since that comes within about a second. */
const startWaitShare = 0.06;
const longestStartWaitMilliseconds = 1000;

/**
Tells how long a request waits for the first configuration or the first backend server.

@param patience How long the caller waits in all, in milliseconds.
@returns Milliseconds.
@example
```ts
startWait(8000); // 480
```
*/
export function startWait(patience: number): number {
	return Math.min(longestStartWaitMilliseconds, startWaitShare * patience);
}
