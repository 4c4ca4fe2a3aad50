/** A queue that a heap orders by its virtual start time. */
export type StartTimeItem = {
	/** The virtual time at which the next request starts. */
	readonly startTime: number;
	/** Breaks ties between equal start times; the lowest is first. */
	readonly arrival: number;
	/** The index in the heap, or -1 outside of it; written by the heap. */
	heapIndex: number;
};

/** A binary heap of the workspaces with queued requests, the earliest virtual start time first. */
export class StartTimeHeap<Item extends StartTimeItem> {
	readonly #items: Item[] = [];

	get first(): Item | undefined {
		return this.#items[0];
	}

	get size(): number {
		return this.#items.length;
	}

	/** Inserts a workspace, or restores its position after its start time has changed. */
	insertOrUpdate(item: Item): void {
		if (item.heapIndex === -1) {
			item.heapIndex = this.#items.length;
			this.#items.push(item);
		}

		this.#siftUp(item);
		this.#siftDown(item);
	}

	remove(item: Item): void {
		const index = item.heapIndex;
		const last = this.#items.pop();
		item.heapIndex = -1;
		if (last === undefined || last === item) {
			return;
		}

		last.heapIndex = index;
		this.#items[index] = last;
		this.insertOrUpdate(last);
	}

	#siftUp(item: Item): void {
		while (item.heapIndex > 0) {
			const parent = this.#items[Math.floor((item.heapIndex - 1) / 2)];
			if (parent === undefined || !isBefore(item, parent)) {
				return;
			}

			this.#swap(item, parent);
		}
	}

	#siftDown(item: Item): void {
		for (;;) {
			const left = this.#items[(2 * item.heapIndex) + 1];
			const right = this.#items[(2 * item.heapIndex) + 2];
			const child = right !== undefined && left !== undefined && isBefore(right, left) ? right : left;
			if (child === undefined || !isBefore(child, item)) {
				return;
			}

			this.#swap(item, child);
		}
	}

	#swap(first: Item, second: Item): void {
		const index = first.heapIndex;
		first.heapIndex = second.heapIndex;
		second.heapIndex = index;
		this.#items[first.heapIndex] = first;
		this.#items[second.heapIndex] = second;
	}
}

function isBefore(first: StartTimeItem, second: StartTimeItem): boolean {
	return first.startTime < second.startTime || (first.startTime === second.startTime && first.arrival < second.arrival);
}
