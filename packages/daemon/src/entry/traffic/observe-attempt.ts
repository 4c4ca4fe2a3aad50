import {type Clock} from '@valehitch/core';
import {type AttemptStage} from '@valehitch/routing';
import {type AttemptOutput} from '../attempt-output.js';

/** Options of {@linkcode observeAttempt}. */
export type AttemptObserver = {
	readonly clock: Clock;
	/** Aborted when the attempt is cancelled; what it reports then says nothing about its server. */
	readonly signal: AbortSignal;
	/** Whether the answer is streamed. */
	readonly streamed: boolean;
	/** Called when the server has sent data. */
	readonly onData: () => void;
	/** Called with the time the server took for each stage, in milliseconds, without the time the caller took. */
	readonly onStage: (stage: AttemptStage, milliseconds: number) => void;
	/** Called with the result of the attempt, unless it was cancelled, and each time the server is reported as silent. */
	readonly onEnd: (output: AttemptOutput) => void;
};

const intermediateTypes: ReadonlySet<AttemptOutput['type']> = new Set(['head', 'piece']);
const dataTypes: ReadonlySet<AttemptOutput['type']> = new Set(['head', 'piece', 'complete', 'not-run', 'failed']);

/**
Forwards the outputs of an attempt and reports its stages and its result.

@param outputs The outputs of the attempt.
@param observer The callbacks.
@returns The unchanged outputs.
@example
```ts
return observeAttempt(callEngine(call), observer);
```
*/
export async function * observeAttempt(outputs: AsyncIterable<AttemptOutput>, {clock, signal, streamed, onData, onStage, onEnd}: AttemptObserver): AsyncGenerator<AttemptOutput, void> {
	let waitingSince = clock.monotonic();
	let stage: AttemptStage = streamed ? 'prefill' : 'whole';
	for await (const output of outputs) {
		if (signal.aborted) {
			return;
		}

		if (dataTypes.has(output.type)) {
			onData();
		}

		if (output.type === 'piece') {
			onStage(stage, clock.monotonic() - waitingSince);
			stage = 'decode';
		}

		if (!intermediateTypes.has(output.type)) {
			onEnd(output);
		}

		yield output;
		waitingSince = output.type === 'head' ? waitingSince : clock.monotonic();
	}
}
