import {type AttemptOutput} from './attempt-output.js';
import {type StallTimer} from './stall-timer.js';

/** Options for {@linkcode reportStalls}. */
export type ReportStallsOptions = {
	/** The stall timer; restarted for each output, and by the producer when it receives data that yields no output. */
	readonly stall: StallTimer;
	/** The message of the `silent` outputs. */
	readonly message: string;
};

/**
Forwards the outputs of an attempt and inserts a `silent` output whenever the stall timer expires. The attempt itself continues.

@param outputs The outputs of the attempt.
@param options The timer and the message.
@returns The outputs, including the inserted ones.
@example
```ts
yield * reportStalls(outputs, {stall, message: 'No data received from the engine for 1500 ms'});
```
*/
export async function * reportStalls(outputs: AsyncIterable<AttemptOutput>, {stall, message}: ReportStallsOptions): AsyncGenerator<AttemptOutput, void> {
	const iterator = outputs[Symbol.asyncIterator]();
	try {
		let next = iterator.next();
		while (true) {
			const result = await Promise.race([next, stall.waitForExpiry()]);
			if (result === undefined) {
				yield {type: 'silent', message, silentMilliseconds: stall.milliseconds};
				continue;
			}

			if (result.done === true) {
				return;
			}

			// The time that the consumer takes does not count as a stall of the server.
			stall.clear();
			yield result.value;
			stall.touch();
			next = iterator.next();
		}
	} finally {
		stall.clear();
		await iterator.return?.();
	}
}
