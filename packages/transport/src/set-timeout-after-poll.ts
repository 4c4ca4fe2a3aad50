/** The longest time of a timer, in milliseconds. A longer one would expire at once. */
const longestMilliseconds = 2_147_483_647;

/**
Like `setTimeout`, but runs the callback after pending socket input has been read.

After the process was blocked by a busy machine or suspended, the event loop runs expired timers before it reads sockets, so a plain timer would report a timeout for a response that is already received but unread.

@param milliseconds The timeout; one of more than 24 days ends after that time.
@param callback The function to call when the timeout expires.
@returns A function that cancels the timeout.
@example
```ts
const clear = setTimeoutAfterPoll(1000, () => socket.destroy());
socket.once('data', clear);
```
*/
export function setTimeoutAfterPoll(milliseconds: number, callback: () => void): () => void {
	let immediate: NodeJS.Immediate | undefined;
	const timer = setTimeout(() => {
		immediate = setImmediate(callback);
	}, Math.min(milliseconds, longestMilliseconds));
	return () => {
		clearTimeout(timer);
		clearImmediate(immediate);
	};
}
