/**
Like `setInterval`, but runs the callback after pending socket input has been read.

Use it for failure detection by missing messages. After the process was blocked or suspended, the event loop runs expired timers before it reads sockets, so a plain timer would report peers as silent whose messages are already received but unread.

@param milliseconds The interval.
@param callback The function to call.
@returns A function that stops the interval.
@example
```ts
const stop = setIntervalAfterPoll(1000, () => detector.check());
```
*/
export function setIntervalAfterPoll(milliseconds: number, callback: () => void): () => void {
	let immediate: NodeJS.Immediate | undefined;
	const timer = setInterval(() => {
		immediate = setImmediate(callback);
	}, milliseconds);
	return () => {
		clearInterval(timer);
		clearImmediate(immediate);
	};
}
