/** A scheduled event. */
type QueuedEvent = {
	/** The simulated time of the event, in milliseconds. */
	readonly at: number;
	/** Breaks ties: events of the same time run in the order in which they were scheduled. */
	readonly order: number;
	readonly run: () => void;
};

/**
A discrete-event simulation clock that runs scheduled events in order of simulated time.

@example
```ts
const queue = new EventQueue();
queue.schedule(20, () => console.log(queue.now));
queue.runUntil(1000);
```
*/
export class EventQueue {
	/** A binary min-heap by time. */
	readonly #heap: QueuedEvent[] = [];
	#now = 0;
	#order = 0;

	/** The current simulated time, in milliseconds. */
	get now(): number {
		return this.#now;
	}

	/**
	Schedules an event.

	@param delay The delay from now, in milliseconds; a negative delay counts as 0.
	@param run Runs the event.
	*/
	schedule(delay: number, run: () => void): void {
		this.#heap.push({at: this.#now + Math.max(0, delay), order: this.#order++, run});
		this.#siftUp(this.#heap.length - 1);
	}

	/**
	Runs events up to and including a time.

	@param end The simulated time, in milliseconds.
	*/
	runUntil(end: number): void {
		for (let next = this.#heap[0]; next !== undefined && next.at <= end; next = this.#heap[0]) {
			this.#pop();
			this.#now = next.at;
			next.run();
		}
	}

	#pop(): void {
		const last = this.#heap.pop();
		if (last !== undefined && this.#heap.length > 0) {
			this.#heap[0] = last;
			this.#siftDown();
		}
	}

	#siftUp(from: number): void {
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

	#siftDown(): void {
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
		const previous = this.#heap[index]!;
		this.#heap[index] = this.#heap[other]!;
		this.#heap[other] = previous;
	}
}
