/**
Starts a timeout that is due once the input that had arrived by its end is read.

A process that was held up, by a busy machine or a suspension, runs its timers before it reads its sockets: an answer that waits there would be taken for silence.

@param milliseconds How long it lasts.
@param onDue Called at its end.
@returns Ends the timeout; `onDue` is not called any more.
@example
```ts
const clear = timeoutAfterInput(1000, () => socket.destroy());
socket.once('data', clear);
```
*/
export function timeoutAfterInput(milliseconds: number, onDue: () => void): () => void {
	let immediate: NodeJS.Immediate | undefined;
	const timer = setTimeout(() => {
		immediate = setImmediate(onDue);
	}, milliseconds);
	return () => {
		clearTimeout(timer);
		clearImmediate(immediate);
	};
}
