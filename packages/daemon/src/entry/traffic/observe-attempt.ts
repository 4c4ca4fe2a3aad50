import {type Clock} from '@valehitch/core';
import {type AttemptStage} from '@valehitch/routing';
import {type AttemptOutput} from '../attempt-output.js';

/** What is told of an attempt. */
export type AttemptObserver = {
	readonly clock: Clock;
	/** Whether the answer comes piece by piece. */
	readonly streamed: boolean;
	/** Told how long the server took for each stage, in milliseconds; the time that the caller takes does not count. */
	readonly onStage: (stage: AttemptStage, milliseconds: number) => void;
	/** Told how the attempt ended, unless it was cancelled, and each time that it fell silent. */
	readonly onEnd: (output: AttemptOutput) => void;
};

const goesOn: ReadonlySet<AttemptOutput['type']> = new Set(['head', 'piece']);

/**
Passes the outputs of an attempt on, and tells what was seen of it.

@param outputs What comes of the attempt.
@param observer Who is told.
@returns The same outputs.
@example
```ts
return observeAttempt(callEngine(call), observer);
```
*/
export async function * observeAttempt(outputs: AsyncIterable<AttemptOutput>, {clock, streamed, onStage, onEnd}: AttemptObserver): AsyncGenerator<AttemptOutput, void> {
	let since = clock.monotonic();
	let stage: AttemptStage = streamed ? 'prefill' : 'whole';
	for await (const output of outputs) {
		if (output.type === 'piece') {
			onStage(stage, clock.monotonic() - since);
			stage = 'decode';
		}

		if (!goesOn.has(output.type)) {
			onEnd(output);
		}

		yield output;
		since = output.type === 'head' ? since : clock.monotonic();
	}
}
