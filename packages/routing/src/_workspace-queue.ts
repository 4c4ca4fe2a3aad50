import {type RequestId, type WorkspaceId} from '@valehitch/core';
import {type AdmissionRequest} from './admission-request.js';

/** The waiting requests of one workspace, by priority and then by arrival, and its place in the order of start times. */
export class WorkspaceQueue {
	readonly workspace: WorkspaceId;
	weight: number;
	/** The virtual time at which the next request starts. */
	start = 0;
	/** The virtual time at which the last started request ends. */
	finish = 0;
	/** When it began to wait, as a number that rises; it breaks ties. */
	since = 0;
	/** The index in the heap, or -1 while nothing waits. */
	heapIndex = -1;
	/** Tokens of the waiting requests. */
	cost = 0;
	/** How many requests wait. */
	count = 0;
	/** How many requests were admitted and are not released. */
	inFlight = 0;
	readonly #waiting: Array<Map<RequestId, AdmissionRequest> | undefined> = [];
	readonly #costs: number[] = [];

	constructor(workspace: WorkspaceId, weight: number) {
		this.workspace = workspace;
		this.weight = weight;
	}

	push(request: AdmissionRequest): void {
		const {priority, id, cost} = request;
		const queue = this.#waiting[priority] ?? new Map<RequestId, AdmissionRequest>();
		queue.set(id, request);
		this.#waiting[priority] = queue;
		this.#costs[priority] = (this.#costs[priority] ?? 0) + cost;
		this.cost += cost;
		this.count++;
	}

	/** The request that starts next: the lowest priority number, and the earliest of those. */
	peek(): AdmissionRequest | undefined {
		for (const queue of this.#waiting) {
			const next = queue?.values().next();
			if (next?.done === false) {
				return next.value;
			}
		}

		return undefined;
	}

	/** Takes a request out. */
	remove({id, priority, cost}: AdmissionRequest): boolean {
		if (this.#waiting[priority]?.delete(id) !== true) {
			return false;
		}

		this.#costs[priority] = (this.#costs[priority] ?? 0) - cost;
		this.cost -= cost;
		this.count--;
		return true;
	}

	/** Tokens that start before a new request of the priority. */
	costAhead(priority: number): number {
		let ahead = 0;
		for (let sooner = 0; sooner <= priority; sooner++) {
			ahead += this.#costs[sooner] ?? 0;
		}

		return ahead;
	}
}
