/**
Does something again and again, each time once the input that had arrived is read.

For what judges others by their silence: a process that was held up runs its timers before it reads its sockets, and would take all for silent whose words wait there.

@param milliseconds From one time to the next.
@param act What to do.
@returns Ends it.
@example
```ts
const stop = intervalAfterInput(1000, () => directory.judge());
```
*/
export function intervalAfterInput(milliseconds: number, act: () => void): () => void {
	let immediate: NodeJS.Immediate | undefined;
	const timer = setInterval(() => {
		immediate = setImmediate(act);
	}, milliseconds);
	return () => {
		clearInterval(timer);
		clearImmediate(immediate);
	};
}
