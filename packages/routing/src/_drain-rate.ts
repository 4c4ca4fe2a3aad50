/** The tokens a millisecond that releases give, as a mean in which recent intervals weigh more. */
export class DrainRate {
	#rate = 0;
	#since: number | undefined;
	#tokens = 0;

	/** Tokens a millisecond, or 0 while nothing is known. */
	get perMillisecond(): number {
		return this.#rate;
	}

	/** Counts tokens that were worked off. */
	count(tokens: number, now: number): void {
		this.#since ??= now;
		this.#tokens += tokens;
		const elapsed = now - this.#since;
		if (elapsed < intervalMilliseconds) {
			return;
		}

		const latest = this.#tokens / elapsed;
		this.#rate = this.#rate === 0 ? latest : this.#rate + (latestWeight * (latest - this.#rate));
		this.#since = now;
		this.#tokens = 0;
	}

	/** Begins anew, since idle time says nothing about the rate. */
	pause(): void {
		this.#since = undefined;
		this.#tokens = 0;
	}
}

const intervalMilliseconds = 1000;
const latestWeight = 0.3;
