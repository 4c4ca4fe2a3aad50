import {decideStalled, type StalledDecision, type StalledSend} from './decide-stalled.js';

/** Options of {@linkcode PauseReview}. */
export type PauseReviewOptions = {
	/** The longest pause between two events that is on time, in milliseconds. */
	readonly targetGap: number;
	/** Called with each decision on a late event whose reason differs from the one before in the same pause; `paused` is in milliseconds. */
	readonly onDecision: (decision: StalledDecision, paused: number) => void;
};

/** A stream that has paused, and what is known of its server. */
export type PausedStream = Omit<StalledSend, 'targetGap' | 'isOvertaken'> & {
	/** The current time, in milliseconds on the monotonic clock. */
	readonly now: number;
	/** When the server last sent data on any connection, in milliseconds on the monotonic clock. */
	readonly heardAt: number;
};

/** How long a server must have gone on with other requests before a stream counts as overtaken, in milliseconds: after a silence, its streams go on one after another. */
const overtakenMilliseconds = 200;

/**
Reviews the pauses of one stream: whether its server goes on with other requests meanwhile, and whether another server is asked to go on with the stream.

@example
```ts
const review = new PauseReview({targetGap: 1000, onDecision});
review.decide({now, heardAt, paused: 1200, timeLeft: 5000, resumeTime: 300, canGoElsewhere: () => true, isServerInDoubt: false});
```
*/
export class PauseReview {
	/** The pause from which on there is something to decide, in milliseconds. */
	readonly targetGap: number;
	readonly #onDecision: PauseReviewOptions['onDecision'];
	/** When the pause began that is decided on, in milliseconds on the monotonic clock. */
	#pausedAt = Number.NEGATIVE_INFINITY;
	/** When its server was first found to go on with other requests in this pause, in milliseconds on the monotonic clock. */
	#overtakenAt: number | undefined;
	#lastReason: string | undefined;

	constructor({targetGap, onDecision}: PauseReviewOptions) {
		this.targetGap = targetGap;
		this.#onDecision = onDecision;
	}

	/**
	Decides on a pause.

	@param stream The stream and its server.
	@returns The decision.
	*/
	decide({now, heardAt, ...send}: PausedStream): StalledDecision {
		this.#beginPause(now - send.paused);
		const decision = decideStalled({...send, targetGap: this.targetGap, isOvertaken: this.#isOvertaken(now, heardAt)});
		if (decision.reason !== 'on-time' && decision.reason !== this.#lastReason) {
			this.#lastReason = decision.reason;
			this.#onDecision(decision, send.paused);
		}

		return decision;
	}

	/** Forgets what was found in an earlier pause. */
	#beginPause(pausedAt: number): void {
		// The time of the pause is measured anew at each call, up to the resolution of the clock.
		if (pausedAt - this.#pausedAt > 1) {
			this.#overtakenAt = undefined;
			this.#lastReason = undefined;
		}

		this.#pausedAt = pausedAt;
	}

	#isOvertaken(now: number, heardAt: number): boolean {
		if (heardAt <= this.#pausedAt + this.targetGap) {
			return false;
		}

		this.#overtakenAt ??= heardAt;
		return now - this.#overtakenAt >= overtakenMilliseconds && heardAt - this.#overtakenAt >= overtakenMilliseconds / 2;
	}
}
