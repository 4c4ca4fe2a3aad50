const intervalMilliseconds = 1000;
const latestWeight = 0.3;
/** Longer than that between two releases the servers did not work, or their requests are so long that these say more than the rate. */
const haltMilliseconds = 2000;
/** Servers come, go and recover within seconds. */
const validMilliseconds = 5000;

/** The tokens a millisecond that a full pool works off, as a mean in which recent intervals weigh more. */
export class DrainRate {
	#rate = 0;
	#measuredAt = Number.NEGATIVE_INFINITY;
	#countedAt = Number.NEGATIVE_INFINITY;
	#since: number | undefined;
	#tokens = 0;

	/** Tokens a millisecond, or 0 where nothing is known of the last seconds. */
	perMillisecond(now: number): number {
		return now - this.#measuredAt <= validMilliseconds ? this.#rate : 0;
	}

	/** Counts tokens that were worked off while others waited. */
	count(tokens: number, now: number): void {
		if (now - this.#countedAt > haltMilliseconds) {
			this.pause();
		}

		this.#countedAt = now;
		this.#since ??= now;
		this.#tokens += tokens;
		const elapsed = now - this.#since;
		if (elapsed < intervalMilliseconds) {
			return;
		}

		const latest = this.#tokens / elapsed;
		const known = this.perMillisecond(now);
		this.#rate = known === 0 ? latest : known + (latestWeight * (latest - known));
		this.#measuredAt = now;
		this.#since = now;
		this.#tokens = 0;
	}

	/** Begins a new interval: time in which nothing waits says how much is asked, and not how much can be done. */
	pause(): void {
		this.#since = undefined;
		this.#tokens = 0;
	}
}
