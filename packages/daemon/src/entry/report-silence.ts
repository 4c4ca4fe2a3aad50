import {type AttemptOutput} from './attempt-output.js';
import {type StallTimer} from './stall-timer.js';

/** How silence is told. */
export type ReportSilenceOptions = {
	/** Touched here with each output, and by others with what brings no output. */
	readonly stall: StallTimer;
	/** What is said of a silence. */
	readonly message: string;
};

/**
Passes the outputs of an attempt on, with a word each time that none came for too long; the attempt itself goes on.

@param outputs What comes of the attempt.
@param options The timer, and what is said.
@returns The outputs, with those of type `silent` among them.
@example
```ts
yield * reportSilence(outputs, {stall, message: 'Got nothing from the engine for 1500 ms'});
```
*/
export async function * reportSilence(outputs: AsyncIterable<AttemptOutput>, {stall, message}: ReportSilenceOptions): AsyncGenerator<AttemptOutput, void> {
	const iterator = outputs[Symbol.asyncIterator]();
	try {
		let next = iterator.next();
		while (true) {
			const taken = await Promise.race([next, stall.expired()]);
			if (taken === undefined) {
				yield {type: 'silent', message};
				continue;
			}

			if (taken.done === true) {
				return;
			}

			// A reader that takes its time is no silence of the server.
			stall.clear();
			yield taken.value;
			stall.touch();
			next = iterator.next();
		}
	} finally {
		stall.clear();
		await iterator.return?.();
	}
}
