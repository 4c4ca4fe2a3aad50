import {type WorkspaceId} from '@valehitch/core';
import {type ContentionRequest} from './contention-request.js';
import {type StartTimeItem} from './_start-time-heap.js';

/** The held requests of one workspace and priority, the earliest deadline first, with its virtual times for fair queueing. */
export class HeldWorkspace<Request extends ContentionRequest> implements StartTimeItem {
	readonly workspace: WorkspaceId | undefined;
	startTime = 0;
	/** The virtual time at which the last released request finishes. */
	finishTime = 0;
	heapIndex = -1;
	readonly #requests: Request[] = [];

	constructor(workspace: WorkspaceId | undefined) {
		this.workspace = workspace;
	}

	/** Workspaces with the same start time are ordered by the deadline of their first request. */
	get arrival(): number {
		return this.first?.deadlineAt ?? Number.POSITIVE_INFINITY;
	}

	get first(): Request | undefined {
		return this.#requests[0];
	}

	get length(): number {
		return this.#requests.length;
	}

	insert(request: Request): void {
		const next = this.#requests.findIndex(({deadlineAt}) => deadlineAt > request.deadlineAt);
		this.#requests.splice(next === -1 ? this.#requests.length : next, 0, request);
	}

	remove(request: Request): void {
		const index = this.#requests.indexOf(request);
		if (index !== -1) {
			this.#requests.splice(index, 1);
		}
	}
}
