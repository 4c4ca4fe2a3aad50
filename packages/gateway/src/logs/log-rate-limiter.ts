/** Options of a log rate limiter. */
export type LogRateLimiterOptions = {
	/** The number of lines of each kind per second. Defaults to 20, which keeps all kinds together below 100 KB per second. */
	readonly linesPerSecond?: number;
	/** The number of additional lines of each kind per second for failures and slow requests. Defaults to 40. */
	readonly urgentLinesPerSecond?: number;
};

/** A kind of line, and the number of its lines that were suppressed. */
export type SuppressedLines = {
	readonly kind: string;
	readonly count: number;
};

type Usage = {
	allowed: number;
	suppressed: number;
};

const windowMilliseconds = 1000;

/**
Limits the number of lines of each kind per second, and counts the suppressed lines.

@example
```ts
const rateLimiter = new LogRateLimiter();
if (rateLimiter.tryAcquire('request-ended', {isUrgent: false})) write();
```
*/
export class LogRateLimiter {
	readonly #lines: number;
	readonly #urgentLines: number;
	readonly #usage = new Map<string, Usage>();
	#windowStartedAt = 0;

	constructor({linesPerSecond = 20, urgentLinesPerSecond = 40}: LogRateLimiterOptions = {}) {
		this.#lines = linesPerSecond;
		this.#urgentLines = linesPerSecond + urgentLinesPerSecond;
	}

	/**
	Requests permission to write a line.

	@param kind The kind of line.
	@param options Whether the line concerns a failure or a slow request.
	@returns Whether the line may be written.
	*/
	tryAcquire(kind: string, {isUrgent}: {readonly isUrgent: boolean}): boolean {
		const usage = this.#usage.get(kind) ?? {allowed: 0, suppressed: 0};
		this.#usage.set(kind, usage);
		if (usage.allowed >= (isUrgent ? this.#urgentLines : this.#lines)) {
			usage.suppressed++;
			return false;
		}

		usage.allowed++;
		return true;
	}

	/**
	Starts a new window if the current one has lasted for a second.

	@param now The current time in milliseconds on the monotonic clock.
	@returns The lines suppressed in the previous window; empty if no new window was started.
	*/
	startWindow(now: number): readonly SuppressedLines[] {
		if (now - this.#windowStartedAt < windowMilliseconds) {
			return [];
		}

		this.#windowStartedAt = now;
		const suppressed: SuppressedLines[] = [];
		for (const [kind, usage] of this.#usage) {
			if (usage.suppressed > 0) {
				suppressed.push({kind, count: usage.suppressed});
			}

			usage.allowed = 0;
			usage.suppressed = 0;
		}

		return suppressed;
	}
}
