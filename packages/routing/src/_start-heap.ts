import {type WorkspaceQueue} from './_workspace-queue.js';

/** A binary heap of the workspaces with waiting requests, the earliest start time first. */
export class StartHeap {
	readonly #items: WorkspaceQueue[] = [];

	get first(): WorkspaceQueue | undefined {
		return this.#items[0];
	}

	get size(): number {
		return this.#items.length;
	}

	/** Puts a workspace in its place, whether or not it is in the heap. */
	place(item: WorkspaceQueue): void {
		if (item.heapIndex === -1) {
			item.heapIndex = this.#items.length;
			this.#items.push(item);
		}

		this.#siftUp(item);
		this.#siftDown(item);
	}

	remove(item: WorkspaceQueue): void {
		const index = item.heapIndex;
		const last = this.#items.pop();
		item.heapIndex = -1;
		if (last === undefined || last === item) {
			return;
		}

		last.heapIndex = index;
		this.#items[index] = last;
		this.place(last);
	}

	#siftUp(item: WorkspaceQueue): void {
		while (item.heapIndex > 0) {
			const parent = this.#items[Math.floor((item.heapIndex - 1) / 2)];
			if (parent === undefined || !isBefore(item, parent)) {
				return;
			}

			this.#swap(item, parent);
		}
	}

	#siftDown(item: WorkspaceQueue): void {
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

	#swap(one: WorkspaceQueue, other: WorkspaceQueue): void {
		const index = one.heapIndex;
		one.heapIndex = other.heapIndex;
		other.heapIndex = index;
		this.#items[one.heapIndex] = one;
		this.#items[other.heapIndex] = other;
	}
}

function isBefore(one: WorkspaceQueue, other: WorkspaceQueue): boolean {
	return one.start < other.start || (one.start === other.start && one.since < other.since);
}
