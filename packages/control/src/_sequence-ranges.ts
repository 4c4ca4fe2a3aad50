const maximumRanges = 4096;

/** The result of adding a number: it was new, it was already present, or it is not above the floor, where membership is unknown. */
export type InsertResult = 'added' | 'present' | 'below-floor';

/** The snapshot form of `SequenceRanges`. */
export type SequenceRangesData = {
	readonly bounds: readonly number[];
	/** The highest number for which membership is no longer known. */
	readonly floor: number;
};

/** A set of integers stored as sorted ranges, compact if the integers have few gaps. */
export class SequenceRanges {
	/** The first and last number of each range, in ascending order. */
	readonly #bounds: number[];
	#floor: number;

	constructor(data?: SequenceRangesData) {
		this.#bounds = [...data?.bounds ?? []];
		this.#floor = data?.floor ?? 0;
	}

	/** The number of ranges. */
	get rangeCount(): number {
		return this.#bounds.length / 2;
	}

	add(number: number): InsertResult {
		if (number <= this.#floor) {
			return 'below-floor';
		}

		const at = this.#boundIndexAfter(number);
		const [previousLast, nextFirst] = [this.#bounds[at - 1], this.#bounds[at]];
		if (previousLast !== undefined && previousLast >= number) {
			return 'present';
		}

		this.#insert({
			number, at, extendsPrevious: previousLast === number - 1, extendsNext: nextFirst === number + 1,
		});
		this.#raiseFloor();
		return 'added';
	}

	toData(): SequenceRangesData {
		return {bounds: this.#bounds, floor: this.#floor};
	}

	/** Returns the index in `#bounds` of the first range that starts after the number. */
	#boundIndexAfter(number: number): number {
		let low = 0;
		let high = this.rangeCount;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if ((this.#bounds[middle * 2] ?? 0) > number) {
				high = middle;
			} else {
				low = middle + 1;
			}
		}

		return low * 2;
	}

	#insert({number, at, extendsPrevious, extendsNext}: {readonly number: number; readonly at: number; readonly extendsPrevious: boolean; readonly extendsNext: boolean}): void {
		if (extendsPrevious && extendsNext) {
			this.#bounds.splice(at - 1, 2);
		} else if (extendsPrevious) {
			this.#bounds[at - 1] = number;
		} else if (extendsNext) {
			this.#bounds[at] = number;
		} else {
			this.#bounds.splice(at, 0, number, number);
		}
	}

	#raiseFloor(): void {
		if (this.rangeCount <= maximumRanges) {
			return;
		}

		const [, last = 0] = this.#bounds.splice(0, 2);
		this.#floor = last;
	}
}
