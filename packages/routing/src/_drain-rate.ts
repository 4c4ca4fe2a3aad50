const intervalMilliseconds = 1000;
const smoothingFactor = 0.3;
/** A longer gap between two releases means that the servers stalled, or that their requests are so long that service times predict the wait better than the rate. */
const maximumReleaseGapMilliseconds = 2000;
/** How long a measured rate is valid: servers join, leave and recover within seconds. */
const validityMilliseconds = 5000;

/** The throughput of a saturated pool in tokens per millisecond, as an exponential moving average over intervals. */
export class DrainRate {
	#rate = 0;
	#measuredAt = Number.NEGATIVE_INFINITY;
	#recordedAt = Number.NEGATIVE_INFINITY;
	#intervalStartedAt: number | undefined;
	#tokens = 0;

	/** Returns the rate in tokens per millisecond, or 0 if none was measured in the last seconds. */
	tokensPerMillisecond(now: number): number {
		return now - this.#measuredAt <= validityMilliseconds ? this.#rate : 0;
	}

	/** Records completed tokens; to be called only while other requests are queued. */
	record(tokens: number, now: number): void {
		if (now - this.#recordedAt > maximumReleaseGapMilliseconds) {
			this.restartInterval();
		}

		this.#recordedAt = now;
		this.#intervalStartedAt ??= now;
		this.#tokens += tokens;
		const elapsed = now - this.#intervalStartedAt;
		if (elapsed < intervalMilliseconds) {
			return;
		}

		const latest = this.#tokens / elapsed;
		const previous = this.tokensPerMillisecond(now);
		this.#rate = previous === 0 ? latest : previous + (smoothingFactor * (latest - previous));
		this.#measuredAt = now;
		this.#intervalStartedAt = now;
		this.#tokens = 0;
	}

	/** Discards the current interval: while nothing is queued, the throughput reflects the demand and not the capacity. */
	restartInterval(): void {
		this.#intervalStartedAt = undefined;
		this.#tokens = 0;
	}
}
