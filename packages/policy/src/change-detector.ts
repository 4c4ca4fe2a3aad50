/** How rarely a detector may be wrong. */
export type ChangeDetectorOptions = {
	/** The most false alarms, as a share, within each `horizon`; 0.01 unless given. */
	readonly falseAlarmShare?: number;
	/** Observations within which the share holds; 1,000 unless given. */
	readonly horizon?: number;
};

/** What a detector is told of one observation. */
export type BadnessObservation = {
	/** From 0 (good) to 1 (bad). */
	readonly badness: number;
	/** The mean badness, above 0 and below 1, up to which nothing is wrong; set before the observation was seen. */
	readonly limit: number;
};

/** Observations that were summed up elsewhere. */
export type SummedEvidence = {
	readonly observations: number;
	/** For each bet the logarithm of its wealth, in nats. */
	readonly logWealth: readonly number[];
};

/** The shares of its wealth that each gambler stakes on every observation. */
export const fixedBets = [0.05, 0.1, 0.2, 0.35, 0.55, 0.8] as const;

const defaultFalseAlarmShare = 0.01;
const defaultHorizon = 1000;
const largestWealth = 1e300;

/**
Tells when the mean of a stream of observations has risen above its limit, at a time not known before, however often it is looked at.

Gamblers with fixed bets on "worse than the limit" cannot win in the mean while that is false (testing by betting: Waudby-Smith and Ramdas, 2024); a new gambler with 1/`horizon` of a unit starts at every observation, and the evidence is the sum of their wealth (Shiryaev-Roberts e-detector: Shin, Ramdas and Rinaldo, 2024). By Doob's inequality the evidence reaches 1/`falseAlarmShare` within `horizon` observations of a good stream with a chance of at most `falseAlarmShare`. The logarithms of fixed bets add up, so that evidence of several instances does.

@example
```ts
const detector = new ChangeDetector();
detector.observe({badness: 0.4, limit: 0.2});
detector.isAlarmed;
```
*/
export class ChangeDetector {
	readonly threshold: number;
	readonly #horizon: number;
	readonly #wealth: number[] = fixedBets.map(() => 0);
	readonly #logWealth: number[] = fixedBets.map(() => 0);
	#count = 0;
	#peak = 0;

	constructor({falseAlarmShare = defaultFalseAlarmShare, horizon = defaultHorizon}: ChangeDetectorOptions = {}) {
		this.threshold = 1 / falseAlarmShare;
		this.#horizon = horizon;
	}

	/** Observations since the last reset. */
	get count(): number {
		return this.#count;
	}

	/** The evidence now. */
	get evidence(): number {
		let sum = 0;
		for (const wealth of this.#wealth) {
			sum += wealth;
		}

		return sum / this.#wealth.length;
	}

	/** The wealth of the boldest gamblers, as a multiple of what one starts with: it falls back at once on good observations, and so shows what the latest ones look like. */
	get boldWealth(): number {
		return (this.#wealth.at(-1) ?? 0) * this.#horizon;
	}

	/** Whether the evidence has reached the threshold since the last reset. */
	get isAlarmed(): boolean {
		return this.#peak >= this.threshold;
	}

	/** For each bet the logarithm of what a unit at the first observation has become; not touched by a reset. */
	get logWealth(): readonly number[] {
		return this.#logWealth;
	}

	/**
	Takes one observation; one whose limit is not above 0 and below 1 is passed over.

	@param observation The observation and the limit.
	*/
	observe({badness, limit}: BadnessObservation): void {
		if (!(limit > 0 && limit < 1)) {
			return;
		}

		const excess = (badness - limit) / limit;
		this.#count += 1;
		for (const [index, bet] of fixedBets.entries()) {
			const growth = 1 + (bet * excess);
			this.#grow(index, {growth, started: 1 / this.#horizon});
			this.#logWealth[index] = (this.#logWealth[index] ?? 0) + Math.log(growth);
		}

		this.#peak = Math.max(this.#peak, this.evidence);
	}

	/**
	Takes observations that were summed up; however many, at most one unit starts with them.

	@param evidence What was added since the last time.
	*/
	advance({observations, logWealth}: SummedEvidence): void {
		this.#count += observations;
		for (const [index, added] of logWealth.entries()) {
			this.#grow(index, {growth: Math.exp(added), started: Math.min(1, observations / this.#horizon)});
			this.#logWealth[index] = (this.#logWealth[index] ?? 0) + added;
		}

		this.#peak = Math.max(this.#peak, this.evidence);
	}

	/** Begins anew, as for a version that is rolled out again. */
	reset(): void {
		this.#wealth.fill(0);
		this.#count = 0;
		this.#peak = 0;
	}

	#grow(index: number, {growth, started}: {readonly growth: number; readonly started: number}): void {
		this.#wealth[index] = Math.min(largestWealth, ((this.#wealth[index] ?? 0) + started) * growth);
	}
}
