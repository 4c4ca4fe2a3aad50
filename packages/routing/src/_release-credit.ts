import {type RandomSource} from '@valehitch/core';

/** The longest time for which credit accrues at once, in milliseconds; after a halt of the process, the pool is not what it was. */
const longestAccrual = 100;

/** The work that an instance may release, which accrues with its share of the pool's rate. */
export class ReleaseCredit {
	readonly #random: RandomSource;
	#milliseconds = 0;
	#accruedAt: number | undefined;
	/** The part of the next request that must be covered. It is random, so that instances with equal shares do not release at the same moment. */
	#neededPart: number | undefined;

	constructor(random: RandomSource) {
		this.#random = random;
	}

	/** Accrues credit at a rate in milliseconds of work per millisecond. */
	accrue(rate: number, now: number): void {
		this.#milliseconds += rate * Math.min(longestAccrual, Math.max(0, now - (this.#accruedAt ?? now)));
		this.#accruedAt = now;
	}

	/** Spends the credit for a request if it covers the needed part; a missing remainder is owed. */
	trySpend(work: number): boolean {
		this.#neededPart ??= this.#random();
		if (this.#milliseconds < this.#neededPart * work) {
			return false;
		}

		this.#milliseconds -= work;
		this.#neededPart = undefined;
		return true;
	}

	/** Discards the credit, since nothing is held that needs it. */
	discard(): void {
		this.#milliseconds = 0;
		this.#accruedAt = undefined;
	}
}
