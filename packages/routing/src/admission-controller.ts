import {
	type Failure, failure, type RequestId, type WorkspaceId,
} from '@valehitch/core';
import {DrainRate} from './_drain-rate.js';
import {StartTimeHeap} from './_start-time-heap.js';
import {WorkspaceQueue} from './_workspace-queue.js';
import {
	type AdmissionDecision, type AdmissionControllerOptions, type AdmissionRequest, type ReleaseOptions,
} from './admission-request.js';

type AdmittedRequest = {
	readonly queue: WorkspaceQueue;
	readonly cost: number;
};

const minimumRetryAfterMilliseconds = 100;
const defaultRetryAfterMilliseconds = 1000;

/**
Shares the token capacity of a server pool among workspaces in proportion to their weights, with a bounded queue.

Requests are admitted in the order of start-time fair queueing (Goyal, Vin and Cheng, 1997); the estimated cost of a request is corrected once its actual usage is known. A workspace may queue at most as many requests as there are free slots left, so that there is always room for other workspaces (the dynamic threshold of Choudhury and Hahne, 1998). Each call takes logarithmic time in the number of workspaces with queued requests.

@example
```ts
const admission = new AdmissionController({capacity: 100_000});
const decision = admission.offer(request, now);
for (const id of admission.release(request.id, {tokens: 812, now})) {
	admit(id);
}
```
*/
export class AdmissionController {
	readonly #maximumQueueLength: number;
	readonly #queues = new Map<WorkspaceId, WorkspaceQueue>();
	readonly #waiting = new Map<RequestId, AdmissionRequest>();
	readonly #admitted = new Map<RequestId, AdmittedRequest>();
	readonly #startTimeHeap = new StartTimeHeap<WorkspaceQueue>();
	readonly #drainRate = new DrainRate();
	#capacity: number;
	#inProgress = 0;
	#waitingCost = 0;
	#waitingWeight = 0;
	#virtualTime = 0;
	#lastArrival = 0;

	constructor({capacity, maximumQueueLength = 1024}: AdmissionControllerOptions) {
		this.#capacity = capacity;
		this.#maximumQueueLength = maximumQueueLength;
	}

	/** The number of queued requests. */
	get waiting(): number {
		return this.#waiting.size;
	}

	/** The number of tracked workspaces. */
	get workspaces(): number {
		return this.#queues.size;
	}

	/** The estimated tokens of the requests in progress. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/**
	Admits, queues or refuses a request.

	@param request The request.
	@param now Milliseconds on the monotonic clock.
	@returns The decision: admitted; queued, with the expected wait; or refused, with the time after which a retry may succeed. It also names the queued requests that are admitted along with it.
	*/
	offer(request: AdmissionRequest, now: number): AdmissionDecision {
		const queue = this.#getQueue(request);
		const freeSlots = this.#maximumQueueLength - this.#waiting.size;
		this.#enqueue(queue, request);
		// The new request can overtake a queued one that is too large for the remaining capacity, and so unblock others behind it.
		const admitted = this.#admitWhileCapacityLasts();
		const unblocked = admitted.filter(id => id !== request.id);
		if (unblocked.length < admitted.length) {
			return {type: 'admitted', unblocked};
		}

		const waitMilliseconds = this.#expectedWait(queue, request, now);
		const refusal = findRefusal(request, {
			waitMilliseconds, now, freeSlots, queuedOfWorkspace: queue.length - 1,
		});
		if (refusal !== undefined) {
			return {type: 'refused', failure: refusal, unblocked: [...unblocked, ...this.cancel(request.id)]};
		}

		return {type: 'queued', waitMilliseconds, unblocked};
	}

	/**
	Releases the capacity of an admitted request.

	@param id The request.
	@param options The tokens that it actually used, and the time.
	@returns The requests that are admitted in its place, in order.
	*/
	release(id: RequestId, {tokens, now}: ReleaseOptions): RequestId[] {
		const admitted = this.#admitted.get(id);
		if (admitted === undefined) {
			return [];
		}

		const {queue, cost} = admitted;
		this.#admitted.delete(id);
		this.#inProgress -= cost;
		queue.inFlight--;
		this.#recordThroughput(tokens, now);
		this.#chargeDifference(queue, tokens - cost);
		const next = this.#admitWhileCapacityLasts();
		this.#deleteIfIdle(queue);
		if (this.#admitted.size === 0) {
			this.#resetWhenIdle();
		}

		return next;
	}

	/**
	Removes a queued request whose caller has disconnected or whose deadline has passed.

	@param id The request.
	@returns The queued requests that it was blocking and that are admitted now, in order.
	*/
	cancel(id: RequestId): RequestId[] {
		const request = this.#waiting.get(id);
		const queue = request && this.#queues.get(request.workspace);
		if (request === undefined || queue === undefined) {
			return [];
		}

		this.#dequeue(queue, request);
		if (queue.length === 0) {
			this.#startTimeHeap.remove(queue);
			this.#waitingWeight -= queue.weight;
		}

		this.#deleteIfIdle(queue);
		return this.#admitWhileCapacityLasts();
	}

	/**
	Changes the capacity, for example after servers were added or removed.

	@param capacity The tokens that may be in progress at once.
	@returns The requests that are admitted now, in order.
	*/
	setCapacity(capacity: number): RequestId[] {
		this.#capacity = capacity;
		return this.#admitWhileCapacityLasts();
	}

	/** Measures the throughput while the pool is saturated, that is, while requests are queued. */
	#recordThroughput(tokens: number, now: number): void {
		if (this.#waiting.size > 0) {
			this.#drainRate.record(tokens, now);
		} else {
			this.#drainRate.restartInterval();
		}
	}

	/** Ends a busy period by resetting the virtual time, so that past usage does not affect the next one. */
	#resetWhenIdle(): void {
		if (this.#waiting.size === 0) {
			this.#queues.clear();
			this.#virtualTime = 0;
		}
	}

	#getQueue({workspace, weight}: AdmissionRequest): WorkspaceQueue {
		const known = this.#queues.get(workspace) ?? new WorkspaceQueue(workspace, weight);
		if (known.length > 0) {
			this.#waitingWeight += weight - known.weight;
		}

		known.weight = weight;
		this.#queues.set(workspace, known);
		return known;
	}

	/** Checks whether a request fits into the remaining capacity. One larger than the total capacity runs alone. */
	#hasRoomFor(cost: number): boolean {
		return this.#inProgress === 0 ? this.#capacity > 0 : this.#inProgress + cost <= this.#capacity;
	}

	#admit(queue: WorkspaceQueue, {id, cost}: AdmissionRequest): void {
		this.#virtualTime = Math.max(this.#virtualTime, queue.startTime);
		queue.finishTime = queue.startTime + (cost / queue.weight);
		queue.startTime = queue.finishTime;
		queue.inFlight++;
		this.#inProgress += cost;
		this.#admitted.set(id, {queue, cost});
	}

	#enqueue(queue: WorkspaceQueue, request: AdmissionRequest): void {
		if (queue.length === 0) {
			queue.startTime = Math.max(this.#virtualTime, queue.finishTime);
			queue.arrival = ++this.#lastArrival;
			this.#waitingWeight += queue.weight;
		}

		queue.push(request);
		this.#waiting.set(request.id, request);
		this.#waitingCost += request.cost;
		this.#startTimeHeap.insertOrUpdate(queue);
	}

	#dequeue(queue: WorkspaceQueue, request: AdmissionRequest): void {
		queue.remove(request);
		this.#waiting.delete(request.id);
		this.#waitingCost -= request.cost;
	}

	#admitWhileCapacityLasts(): RequestId[] {
		const admitted: RequestId[] = [];
		for (;;) {
			const queue = this.#startTimeHeap.first;
			const request = queue?.peek();
			if (queue === undefined || request === undefined || !this.#hasRoomFor(request.cost)) {
				return admitted;
			}

			this.#dequeue(queue, request);
			this.#admit(queue, request);
			admitted.push(request.id);
			this.#updateHeap(queue);
		}
	}

	#updateHeap(queue: WorkspaceQueue): void {
		if (queue.length > 0) {
			this.#startTimeHeap.insertOrUpdate(queue);
			return;
		}

		this.#startTimeHeap.remove(queue);
		this.#waitingWeight -= queue.weight;
	}

	/** Charges the difference between the actual and the estimated cost, so that a workspace gains nothing from low estimates. */
	#chargeDifference(queue: WorkspaceQueue, difference: number): void {
		queue.finishTime += difference / queue.weight;
		if (queue.length > 0) {
			queue.startTime += difference / queue.weight;
			this.#startTimeHeap.insertOrUpdate(queue);
		}
	}

	/** The expected wait: behind the requests of its own workspace at that workspace's share of the throughput, or behind all queued requests, whichever is shorter. */
	#expectedWait(queue: WorkspaceQueue, {priority, weight, serviceMilliseconds}: AdmissionRequest, now: number): number {
		// Without a measured rate, the requests in progress are assumed to take as long as this request.
		const rate = this.#drainRate.tokensPerMillisecond(now) || this.#inProgress / serviceMilliseconds;
		if (!Number.isFinite(rate) || rate === 0) {
			return 0;
		}

		const costAtOwnShare = queue.costAhead(priority) * this.#waitingWeight / weight;
		return Math.min(costAtOwnShare, this.#waitingCost) / rate;
	}

	#deleteIfIdle(queue: WorkspaceQueue): void {
		if (queue.length === 0 && queue.inFlight === 0 && queue.finishTime <= this.#virtualTime) {
			this.#queues.delete(queue.workspace);
		}
	}
}

type RefusalOptions = {
	readonly waitMilliseconds: number;
	readonly now: number;
	/** Free queue slots before the request was offered. */
	readonly freeSlots: number;
	/** Queued requests of the workspace, without this one. */
	readonly queuedOfWorkspace: number;
};

function findRefusal({workspace, deadline, serviceMilliseconds}: AdmissionRequest, {waitMilliseconds, now, freeSlots, queuedOfWorkspace}: RefusalOptions): Failure | undefined {
	const overrun = now + waitMilliseconds + serviceMilliseconds - deadline;
	if (overrun > 0) {
		const retryAfterMilliseconds = Math.ceil(Math.max(minimumRetryAfterMilliseconds, Math.min(overrun, waitMilliseconds)));
		const remaining = Math.max(0, Math.ceil(deadline - now));
		const message = `The expected wait of ${Math.ceil(waitMilliseconds)} ms and processing time of ${Math.ceil(serviceMilliseconds)} ms exceed the ${remaining} ms left until the deadline`;
		return failure('overloaded', message, {retryAfterMilliseconds});
	}

	if (queuedOfWorkspace < freeSlots) {
		return undefined;
	}

	const message = `Workspace ${workspace} has ${queuedOfWorkspace} queued requests, but must have fewer than ${Math.max(1, freeSlots)} to queue another`;
	return failure('limit-reached', message, {retryAfterMilliseconds: Math.ceil(waitMilliseconds) || defaultRetryAfterMilliseconds});
}
