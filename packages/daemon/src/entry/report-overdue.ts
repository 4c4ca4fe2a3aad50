import {setTimeoutAfterPoll} from '@valehitch/transport';
import {type AttemptOutput} from './attempt-output.js';
import {type AttemptReview, type WatchedAttempt} from './traffic/overdue-attempts.js';

/** The interval at which an attempt is reviewed again, in milliseconds; a small part of the time of most requests. */
const reviewMilliseconds = 100;

/**
Forwards the outputs of an attempt, and inserts a `silent` output once if another server is to be asked before the answer has begun. The attempt itself continues.

@param outputs The outputs of the attempt.
@param attempt The attempt.
@returns The outputs, including the inserted one.
@example
```ts
yield * reportOverdue(callEngine(call), attempts(server));
```
*/
export async function * reportOverdue(outputs: AsyncIterable<AttemptOutput>, attempt: WatchedAttempt): AsyncGenerator<AttemptOutput, void> {
	const iterator = outputs[Symbol.asyncIterator]();
	const watch = new OverdueWatch(attempt);
	let overdue: Promise<AttemptReview | undefined> | undefined = watch.whenOverdue();
	let hasBegun = false;
	try {
		let next = iterator.next();
		while (true) {
			const result = await (overdue === undefined ? next : Promise.race([next, overdue]));
			if (result !== undefined && 'decision' in result) {
				overdue = undefined;
				yield silentOutput(result);
				continue;
			}

			if (result === undefined || result.done === true) {
				return;
			}

			if (!hasBegun && (result.value.type === 'piece' || result.value.type === 'complete')) {
				hasBegun = true;
				overdue = undefined;
				watch.stop();
				attempt.recordAnswered();
			}

			// Until the answer begins, time alone does not decide.
			if (hasBegun || result.value.type !== 'silent') {
				yield result.value;
			}

			next = iterator.next();
		}
	} finally {
		watch.stop();
		if (!hasBegun) {
			attempt.recordAbandoned();
		}

		await iterator.return?.();
	}
}

function silentOutput({decision, inputs}: AttemptReview): AttemptOutput {
	const {reason} = decision;
	const silentMilliseconds = Math.round(inputs.waited);
	return {
		type: 'silent', message: `The answer has not begun after ${silentMilliseconds} ms (${reason})`, silentMilliseconds, details: {reason, ...inputs},
	};
}

/** Reviews an attempt until another server is to be asked. */
class OverdueWatch {
	readonly #attempt: WatchedAttempt;
	#isStopped = false;
	#stopTimeout: (() => void) | undefined;

	constructor(attempt: WatchedAttempt) {
		this.#attempt = attempt;
	}

	/** Resolves when another server is to be asked, never after `stop`. */
	async whenOverdue(): Promise<AttemptReview> {
		return new Promise(resolve => {
			this.#reviewAfter(this.#attempt.firstReviewAfter, resolve);
		});
	}

	stop(): void {
		this.#isStopped = true;
		this.#stopTimeout?.();
	}

	#reviewAfter(milliseconds: number, resolve: (review: AttemptReview) => void): void {
		this.#stopTimeout = setTimeoutAfterPoll(milliseconds, () => {
			void this.#review(resolve);
		});
	}

	async #review(resolve: (review: AttemptReview) => void): Promise<void> {
		const review = await this.#attempt.review();
		if (this.#isStopped) {
			return;
		}

		if (review.decision.type === 'send-beside') {
			resolve(review);
			return;
		}

		this.#reviewAfter(reviewMilliseconds, resolve);
	}
}
