const maximumStartupWaitMilliseconds = 1000;

/**
Computes how long a request may wait for state that an instance does not have yet right after its start.

@param timeout The caller's timeout, in milliseconds.
@param share The share of the timeout that the request may wait.
@returns Milliseconds.
@example
```ts
startupWait(8000, 0.06); // 480
```
*/
export function startupWait(timeout: number, share: number): number {
	return Math.min(maximumStartupWaitMilliseconds, share * timeout);
}
