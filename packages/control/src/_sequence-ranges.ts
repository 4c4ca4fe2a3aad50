const mostRanges = 4096;

/** What adding a number gave: it is new, it was there, or it is below the floor, where nobody can tell. */
export type Addition = 'added' | 'present' | 'below-floor';

/** The set in a snapshot. */
export type SequenceRangesData = {
	readonly bounds: readonly number[];
	/** Numbers up to this one are no longer told apart. */
	readonly floor: number;
};

/** A set of whole numbers that mostly come without gaps, kept as sorted ranges. */
export class SequenceRanges {
	/** First and last number of each range, in rising order. */
	readonly #bounds: number[];
	#floor: number;

	constructor(data?: SequenceRangesData) {
		this.#bounds = [...data?.bounds ?? []];
		this.#floor = data?.floor ?? 0;
	}

	/** How many ranges there are. */
	get size(): number {
		return this.#bounds.length / 2;
	}

	add(number: number): Addition {
		if (number <= this.#floor) {
			return 'below-floor';
		}

		const at = this.#firstAfter(number);
		const [previousLast, nextFirst] = [this.#bounds[at - 1], this.#bounds[at]];
		if (previousLast !== undefined && previousLast >= number) {
			return 'present';
		}

		this.#insert({
			number, at, joinsPrevious: previousLast === number - 1, joinsNext: nextFirst === number + 1,
		});
		this.#raiseFloor();
		return 'added';
	}

	toData(): SequenceRangesData {
		return {bounds: this.#bounds, floor: this.#floor};
	}

	/** The place in the bounds of the first range that begins after the number. */
	#firstAfter(number: number): number {
		let low = 0;
		let high = this.size;
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

	#insert({number, at, joinsPrevious, joinsNext}: {readonly number: number; readonly at: number; readonly joinsPrevious: boolean; readonly joinsNext: boolean}): void {
		if (joinsPrevious && joinsNext) {
			this.#bounds.splice(at - 1, 2);
		} else if (joinsPrevious) {
			this.#bounds[at - 1] = number;
		} else if (joinsNext) {
			this.#bounds[at] = number;
		} else {
			this.#bounds.splice(at, 0, number, number);
		}
	}

	#raiseFloor(): void {
		if (this.size <= mostRanges) {
			return;
		}

		const [, last = 0] = this.#bounds.splice(0, 2);
		this.#floor = last;
	}
}
