import {type RequestId, type WorkspaceId} from '@valehitch/core';
import {type AdmissionRequest} from './admission-request.js';

/** The queued requests of one workspace, ordered by priority and then by arrival, with its virtual times for fair queueing. */
export class WorkspaceQueue {
	readonly workspace: WorkspaceId;
	weight: number;
	/** The virtual time at which the next request starts. */
	startTime = 0;
	/** The virtual time at which the last admitted request finishes. */
	finishTime = 0;
	/** A sequence number assigned when the queue becomes non-empty; breaks ties between equal start times. */
	arrival = 0;
	/** The index in the heap, or -1 while the queue is empty. */
	heapIndex = -1;
	/** The tokens of the queued requests. */
	queuedCost = 0;
	/** The number of queued requests. */
	length = 0;
	/** The number of requests that were admitted and not yet released. */
	inFlight = 0;
	readonly #requestsByPriority: Array<Map<RequestId, AdmissionRequest> | undefined> = [];
	readonly #costByPriority: number[] = [];

	constructor(workspace: WorkspaceId, weight: number) {
		this.workspace = workspace;
		this.weight = weight;
	}

	push(request: AdmissionRequest): void {
		const {priority, id, cost} = request;
		const queue = this.#requestsByPriority[priority] ?? new Map<RequestId, AdmissionRequest>();
		queue.set(id, request);
		this.#requestsByPriority[priority] = queue;
		this.#costByPriority[priority] = (this.#costByPriority[priority] ?? 0) + cost;
		this.queuedCost += cost;
		this.length++;
	}

	/** Returns the next request: the earliest one of the lowest priority number. */
	peek(): AdmissionRequest | undefined {
		for (const queue of this.#requestsByPriority) {
			const next = queue?.values().next();
			if (next?.done === false) {
				return next.value;
			}
		}

		return undefined;
	}

	/** Removes a request; returns whether it was queued. */
	remove({id, priority, cost}: AdmissionRequest): boolean {
		if (this.#requestsByPriority[priority]?.delete(id) !== true) {
			return false;
		}

		this.#costByPriority[priority] = (this.#costByPriority[priority] ?? 0) - cost;
		this.queuedCost -= cost;
		this.length--;
		return true;
	}

	/** Returns the queued tokens of the given priority and of all that precede it. */
	costAhead(priority: number): number {
		let costAhead = 0;
		for (let level = 0; level <= priority; level++) {
			costAhead += this.#costByPriority[level] ?? 0;
		}

		return costAhead;
	}
}
