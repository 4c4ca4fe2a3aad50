/** What happens at a moment. */
type QueuedEvent = {
	/** Milliseconds of simulated time. */
	readonly at: number;
	/** Events of one moment happen in the order in which they were added. */
	readonly order: number;
	readonly run: () => void;
};

/**
Simulated time: runs what was planned in the order of its moments.

@example
```ts
const queue = new EventQueue();
queue.add(20, () => console.log(queue.now));
queue.runUntil(1000);
```
*/
export class EventQueue {
	/** A binary heap, the earliest first. */
	readonly #heap: QueuedEvent[] = [];
	#now = 0;
	#order = 0;

	/** Milliseconds of simulated time. */
	get now(): number {
		return this.#now;
	}

	/**
	Plans an event.

	@param delay Milliseconds from now.
	@param run What happens.
	*/
	add(delay: number, run: () => void): void {
		this.#heap.push({at: this.#now + Math.max(0, delay), order: this.#order++, run});
		this.#rise(this.#heap.length - 1);
	}

	/**
	Runs events up to a moment; those after it are dropped.

	@param end Milliseconds of simulated time.
	*/
	runUntil(end: number): void {
		for (let next = this.#takeFirst(); next !== undefined && next.at <= end; next = this.#takeFirst()) {
			this.#now = next.at;
			next.run();
		}
	}

	#takeFirst(): QueuedEvent | undefined {
		const first = this.#heap[0];
		const last = this.#heap.pop();
		if (last !== undefined && first !== last) {
			this.#heap[0] = last;
			this.#sink();
		}

		return first;
	}

	#rise(from: number): void {
		let index = from;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!this.#isBefore(index, parent)) {
				return;
			}

			this.#swap(index, parent);
			index = parent;
		}
	}

	#sink(): void {
		let index = 0;
		for (;;) {
			const left = (2 * index) + 1;
			const right = left + 1;
			const child = right < this.#heap.length && this.#isBefore(right, left) ? right : left;
			if (child >= this.#heap.length || !this.#isBefore(child, index)) {
				return;
			}

			this.#swap(child, index);
			index = child;
		}
	}

	#isBefore(index: number, other: number): boolean {
		const one = this.#heap[index]!;
		const two = this.#heap[other]!;
		return one.at === two.at ? one.order < two.order : one.at < two.at;
	}

	#swap(index: number, other: number): void {
		const kept = this.#heap[index]!;
		this.#heap[index] = this.#heap[other]!;
		this.#heap[other] = kept;
	}
}
