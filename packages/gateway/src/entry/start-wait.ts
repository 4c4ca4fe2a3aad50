const longestStartWaitMilliseconds = 1000;

/**
Tells how long a request waits for what an instance lacks right after a start.

@param patience How long the caller waits in all, in milliseconds.
@param share The part of it that the request may wait.
@returns Milliseconds.
@example
```ts
startWait(8000, 0.06); // 480
```
*/
export function startWait(patience: number, share: number): number {
	return Math.min(longestStartWaitMilliseconds, share * patience);
}
