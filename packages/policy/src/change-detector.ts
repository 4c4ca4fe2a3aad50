/** The false alarm bound of a detector. */
export type ChangeDetectorOptions = {
	/** The maximum probability of a false alarm within each `horizon`. Defaults to 0.01. */
	readonly falseAlarmShare?: number;
	/** The number of observations to which the bound applies. Defaults to 1,000. */
	readonly horizon?: number;
};

/** An observation for a detector. */
export type BadnessObservation = {
	/** The badness, from 0 (good) to 1 (bad). */
	readonly badness: number;
	/** The highest acceptable mean badness, between 0 and 1 exclusive. Must be set before the observation is known. */
	readonly limit: number;
};

/** Evidence from observations that were summed elsewhere. */
export type SummedEvidence = {
	readonly observations: number;
	/** The increase in the natural logarithm of the wealth of each bet in `betFractions`. */
	readonly logWealth: readonly number[];
};

/** The fraction of its wealth that each bet stakes on every observation. */
export const betFractions = [0.05, 0.1, 0.2, 0.35, 0.55, 0.8] as const;

const defaultFalseAlarmShare = 0.01;
const defaultHorizon = 1000;
const maximumWealth = 1e300;

/**
Detects when the mean of a stream of observations rises above its limit. The time of the change need not be known in advance, and the result is valid under continuous monitoring.

Each bet stakes a fixed fraction of its wealth on "worse than the limit". While that is false, the expected wealth does not grow (testing by betting: Waudby-Smith and Ramdas, 2024). A new bet with 1/`horizon` of a unit starts at every observation, and the evidence is the mean over the fractions of the total wealth (Shiryaev-Roberts e-detector: Shin, Ramdas and Rinaldo, 2024). By Doob's inequality, the evidence reaches 1/`falseAlarmShare` within `horizon` observations of a good stream with a probability of at most `falseAlarmShare`. The logarithms of the wealth of fixed bets are additive, so the evidence of several instances can be added.

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
	readonly #wealth: number[] = betFractions.map(() => 0);
	readonly #logWealth: number[] = betFractions.map(() => 0);
	#count = 0;
	#maximumEvidence = 0;

	constructor({falseAlarmShare = defaultFalseAlarmShare, horizon = defaultHorizon}: ChangeDetectorOptions = {}) {
		this.threshold = 1 / falseAlarmShare;
		this.#horizon = horizon;
	}

	/** The number of observations since the last reset. */
	get count(): number {
		return this.#count;
	}

	/** The current evidence. */
	get evidence(): number {
		let sum = 0;
		for (const wealth of this.#wealth) {
			sum += wealth;
		}

		return sum / this.#wealth.length;
	}

	/** The wealth of the bet with the largest fraction, in multiples of its initial wealth. It drops quickly on good observations, so it reflects the most recent ones. */
	get largestBetWealth(): number {
		return (this.#wealth.at(-1) ?? 0) * this.#horizon;
	}

	/** Whether the evidence has reached the threshold since the last reset. */
	get isAlarmed(): boolean {
		return this.#maximumEvidence >= this.threshold;
	}

	/** The natural logarithm of the wealth of each bet, starting from one unit at the first observation. Not affected by `reset`. */
	get logWealth(): readonly number[] {
		return this.#logWealth;
	}

	/**
	Adds an observation. Ignored if its limit is not strictly between 0 and 1.

	@param observation The observation and the limit.
	*/
	observe({badness, limit}: BadnessObservation): void {
		if (!(limit > 0 && limit < 1)) {
			return;
		}

		const excess = (badness - limit) / limit;
		this.#count += 1;
		for (const [index, bet] of betFractions.entries()) {
			const growth = 1 + (bet * excess);
			this.#updateWealth(index, {growth, added: 1 / this.#horizon});
			this.#logWealth[index] = (this.#logWealth[index] ?? 0) + Math.log(growth);
		}

		this.#maximumEvidence = Math.max(this.#maximumEvidence, this.evidence);
	}

	/**
	Adds evidence that was summed elsewhere. However many observations it covers, at most one unit of initial wealth is added.

	@param evidence The evidence since the previous call.
	*/
	observeSummed({observations, logWealth}: SummedEvidence): void {
		this.#count += observations;
		for (const [index, added] of logWealth.entries()) {
			this.#updateWealth(index, {growth: Math.exp(added), added: Math.min(1, observations / this.#horizon)});
			this.#logWealth[index] = (this.#logWealth[index] ?? 0) + added;
		}

		this.#maximumEvidence = Math.max(this.#maximumEvidence, this.evidence);
	}

	/** Clears the evidence, for example when the version is rolled out again. */
	reset(): void {
		this.#wealth.fill(0);
		this.#count = 0;
		this.#maximumEvidence = 0;
	}

	#updateWealth(index: number, {growth, added}: {readonly growth: number; readonly added: number}): void {
		this.#wealth[index] = Math.min(maximumWealth, ((this.#wealth[index] ?? 0) + added) * growth);
	}
}
