/** The processor time of a control instance that one answer is allowed, in milliseconds. */
const answerMilliseconds = 0.5;
/** The longest time for which news waits, in milliseconds, however many polls there are. */
const maximumPauseMilliseconds = 250;

/**
Decides when pending polls are answered, so that a burst of changes costs an answer to each poll for each pause, and not for each change. The first change is told at once; the pause after it grows with the number of polls that were answered.

@example
```ts
const pacer = new NoticePacer();
pacer.recordAnswers(300, now);
pacer.pause(now + 50); // 100
```
*/
export class NoticePacer {
	#pausedUntil = Number.NEGATIVE_INFINITY;

	/**
	Returns how long news waits.

	@param now Milliseconds on the monotonic clock.
	@returns Milliseconds; 0 if it is told now.
	*/
	pause(now: number): number {
		return Math.max(0, this.#pausedUntil - now);
	}

	/**
	Records that polls are answered.

	@param count The number of polls.
	@param now Milliseconds on the monotonic clock.
	*/
	recordAnswers(count: number, now: number): void {
		this.#pausedUntil = Math.min(now + maximumPauseMilliseconds, Math.max(now, this.#pausedUntil) + (count * answerMilliseconds));
	}
}
