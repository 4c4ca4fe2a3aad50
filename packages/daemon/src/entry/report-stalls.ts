import {type StalledDecision} from '@valehitch/routing';
import {type AttemptOutput} from './attempt-output.js';
import {type StallTimer} from './stall-timer.js';

/** Options for {@linkcode reportStalls}. */
export type ReportStallsOptions = {
	/** The stall timer; restarted for each output, and by the producer when it receives data that yields no output. */
	readonly stall: StallTimer;
	/** Decides on a pause, in milliseconds, of an answer that has begun. */
	readonly review: (paused: number) => StalledDecision;
};

/** The interval at which a pause is reviewed again, in milliseconds; a small part of the time that sound servers are silent. */
const reviewMilliseconds = 100;

/**
Forwards the outputs of an attempt, and inserts a `silent` output once in each pause of an answer that has begun if another server is to be asked. The attempt itself continues.

@param outputs The outputs of the attempt.
@param options The timer and the decision.
@returns The outputs, including the inserted ones.
@example
```ts
yield * reportStalls(outputs, {stall, review});
```
*/
export async function * reportStalls(outputs: AsyncIterable<AttemptOutput>, {stall, review}: ReportStallsOptions): AsyncGenerator<AttemptOutput, void> {
	const iterator = outputs[Symbol.asyncIterator]();
	let hasBegun = false;
	try {
		let next = iterator.next();
		while (true) {
			const result = await Promise.race([next, stall.waitForExpiry()]);
			if (result === undefined) {
				if (!hasBegun) {
					continue;
				}

				const {inactive} = stall;
				const {type, reason} = review(inactive);
				if (type === 'resume-elsewhere') {
					yield silentOutput(inactive, reason);
				} else {
					stall.expireAgainAfter(reviewMilliseconds);
				}

				continue;
			}

			if (result.done === true) {
				return;
			}

			hasBegun ||= result.value.type === 'piece';
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

function silentOutput(inactive: number, reason: StalledDecision['reason']): AttemptOutput {
	// The silence must not seem to begin before the last data.
	const silentMilliseconds = Math.floor(inactive);
	return {
		type: 'silent', message: `No data received for ${silentMilliseconds} ms (${reason})`, silentMilliseconds, details: {reason},
	};
}
