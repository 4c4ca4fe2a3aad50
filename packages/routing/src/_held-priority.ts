import {type RandomSource, type RequestId, type WorkspaceId} from '@valehitch/core';
import {type ContentionRequest} from './contention-request.js';
import {HeldWorkspace} from './_held-workspace.js';
import {ReleaseCredit} from './_release-credit.js';
import {StartTimeHeap} from './_start-time-heap.js';

/** A request that is held. */
export type HeldRequest = ContentionRequest & {
	/** Whether it was predicted to be served in time when it arrived. */
	readonly isPredictedInTime: boolean;
};

/** The held requests of one priority, in the order of start-time fair queueing over their workspaces. */
export class HeldPriority {
	readonly priority: number;
	/** The work that may be released. */
	readonly credit: ReleaseCredit;
	readonly #requests = new Map<RequestId, HeldRequest>();
	readonly #workspaces = new Map<WorkspaceId | undefined, HeldWorkspace<HeldRequest>>();
	readonly #heap = new StartTimeHeap<HeldWorkspace<HeldRequest>>();
	#work = 0;
	#virtualTime = 0;

	constructor(priority: number, random: RandomSource) {
		this.priority = priority;
		this.credit = new ReleaseCredit(random);
	}

	/** The work of the held requests, in milliseconds. */
	get work(): number {
		return this.#work;
	}

	/** The request that is released next. */
	get first(): HeldRequest | undefined {
		return this.#heap.first?.first;
	}

	/** The held requests, in the order of their arrival. */
	get requests(): Iterable<HeldRequest> {
		return this.#requests.values();
	}

	add(request: HeldRequest): void {
		const {workspace} = request;
		const queue = this.#workspaces.get(workspace) ?? new HeldWorkspace<HeldRequest>(workspace);
		this.#workspaces.set(workspace, queue);
		if (queue.length === 0) {
			queue.startTime = Math.max(this.#virtualTime, queue.finishTime);
		}

		queue.insert(request);
		this.#requests.set(request.id, request);
		this.#work += request.work;
		this.#heap.insertOrUpdate(queue);
	}

	/** Removes a request that is sent, and charges its work to its workspace. */
	release(request: HeldRequest): void {
		const queue = this.#workspaces.get(request.workspace);
		if (queue === undefined) {
			return;
		}

		this.#virtualTime = Math.max(this.#virtualTime, queue.startTime);
		queue.finishTime = queue.startTime + request.work;
		queue.startTime = queue.finishTime;
		this.remove(request);
	}

	/** Removes a request whose caller has left. */
	remove(request: HeldRequest): void {
		const queue = this.#workspaces.get(request.workspace);
		if (queue === undefined || !this.#requests.delete(request.id)) {
			return;
		}

		queue.remove(request);
		this.#work = this.#requests.size === 0 ? 0 : this.#work - request.work;
		if (queue.length > 0) {
			this.#heap.insertOrUpdate(queue);
			return;
		}

		this.#heap.remove(queue);
		this.#forgetWorkspaces();
		if (this.#requests.size === 0) {
			this.credit.discard();
		}
	}

	/** Forgets the workspaces that hold nothing and whose released work is no longer ahead of the others'. */
	#forgetWorkspaces(): void {
		for (const [id, {length, finishTime}] of this.#workspaces) {
			if (length === 0 && finishTime <= this.#virtualTime) {
				this.#workspaces.delete(id);
			}
		}
	}
}
