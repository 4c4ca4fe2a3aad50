/**
Waits until the event loop has polled all sockets once more, so that input that was pending at the call has been read.

A process that was blocked or suspended finds the end of a connection only at the poll after the one in which it reads the last bytes.

@example
```ts
await nextPoll();
if (!socket.readableEnded) forward();
```
*/
export async function nextPoll(): Promise<void> {
	return new Promise(resolve => {
		// The first callback runs after the poll of the current turn, which may be the one that called this function.
		setImmediate(() => {
			setImmediate(resolve);
		});
	});
}
