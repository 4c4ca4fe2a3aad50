import {
	type Failure, failure, type RequestId, type WorkspaceId,
} from '@valehitch/core';
import {DrainRate} from './_drain-rate.js';
import {StartHeap} from './_start-heap.js';
import {WorkspaceQueue} from './_workspace-queue.js';
import {
	type AdmissionAnswer, type AdmissionOptions, type AdmissionRequest, type ReleaseOptions,
} from './admission-request.js';

type Admitted = {
	readonly queue: WorkspaceQueue;
	readonly cost: number;
};

const leastRetryAfterMilliseconds = 100;
const unknownRetryAfterMilliseconds = 1000;

/**
Shares the capacity of a pool among workspaces by tokens, in proportion to their weights, with a bounded queue.

The order is that of start-time fair queueing (Goyal, Vin and Cheng, 1997), with the estimated cost put right when the real usage is known. A workspace may fill as much of the queue as is still free, so that there is always room for another (the dynamic threshold of Choudhury and Hahne, 1998). Each call takes time in the logarithm of the workspaces that wait.

@example
```ts
const admission = new Admission({capacity: 100_000});
const answer = admission.offer(request, now);
for (const id of admission.release(request.id, {tokens: 812, now})) {
	admit(id);
}
```
*/
export class Admission {
	readonly #maximumWaiting: number;
	readonly #queues = new Map<WorkspaceId, WorkspaceQueue>();
	readonly #waiting = new Map<RequestId, AdmissionRequest>();
	readonly #admitted = new Map<RequestId, Admitted>();
	readonly #heap = new StartHeap();
	readonly #rate = new DrainRate();
	#capacity: number;
	#inProgress = 0;
	#waitingCost = 0;
	#waitingWeight = 0;
	#virtualTime = 0;
	#waits = 0;

	constructor({capacity, maximumWaiting = 1024}: AdmissionOptions) {
		this.#capacity = capacity;
		this.#maximumWaiting = maximumWaiting;
	}

	/** How many requests wait. */
	get waiting(): number {
		return this.#waiting.size;
	}

	/** How many workspaces are kept track of. */
	get workspaces(): number {
		return this.#queues.size;
	}

	/** Tokens in progress, by their estimates. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/**
	Asks for admission.

	@param request The request.
	@param now Milliseconds on the monotonic clock.
	@returns Admitted; queued, with the expected wait; or refused, with the time after which the queue will be short enough.
	*/
	offer(request: AdmissionRequest, now: number): AdmissionAnswer {
		const queue = this.#queueOf(request);
		const free = this.#maximumWaiting - this.#waiting.size;
		this.#wait(queue, request);
		// It may come before one that is too large for what is left of the capacity.
		if (this.#admitWhatFits().length > 0) {
			return {type: 'admitted'};
		}

		const waitMilliseconds = this.#expectedWait(queue, request, now);
		const refusal = refusalOf(request, {
			waitMilliseconds, now, free, others: queue.count - 1,
		});
		if (refusal !== undefined) {
			this.leave(request.id);
			return {type: 'refused', failure: refusal};
		}

		return {type: 'queued', waitMilliseconds};
	}

	/**
	Ends an admitted request.

	@param id The request.
	@param options Its real tokens, and the time.
	@returns The requests that are admitted in its place, in their order.
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
		this.#measure(tokens, now);
		this.#correct(queue, tokens - cost);
		const next = this.#admitWhatFits();
		this.#forgetIdle(queue);
		if (this.#admitted.size === 0) {
			this.#restWhenIdle();
		}

		return next;
	}

	/**
	Takes a waiting request out, since its caller left or its deadline passed.

	@param id The request.
	@returns The requests that are admitted because it stood before them, in their order.
	*/
	leave(id: RequestId): RequestId[] {
		const request = this.#waiting.get(id);
		const queue = request && this.#queues.get(request.workspace);
		if (request === undefined || queue === undefined) {
			return [];
		}

		this.#takeOut(queue, request);
		if (queue.count === 0) {
			this.#heap.remove(queue);
			this.#waitingWeight -= queue.weight;
		}

		this.#forgetIdle(queue);
		return this.#admitWhatFits();
	}

	/**
	Changes the capacity, after servers came or went.

	@param capacity Tokens that may be in progress at once.
	@returns The requests that are admitted now, in their order.
	*/
	setCapacity(capacity: number): RequestId[] {
		this.#capacity = capacity;
		return this.#admitWhatFits();
	}

	/** Counts what was worked off, where the pool is full. */
	#measure(tokens: number, now: number): void {
		if (this.#waiting.size > 0) {
			this.#rate.count(tokens, now);
		} else {
			this.#rate.pause();
		}
	}

	/** Ends a busy period: what was had in it gives no one an advantage. */
	#restWhenIdle(): void {
		if (this.#waiting.size === 0) {
			this.#queues.clear();
			this.#virtualTime = 0;
		}
	}

	#queueOf({workspace, weight}: AdmissionRequest): WorkspaceQueue {
		const known = this.#queues.get(workspace) ?? new WorkspaceQueue(workspace, weight);
		if (known.count > 0) {
			this.#waitingWeight += weight - known.weight;
		}

		known.weight = weight;
		this.#queues.set(workspace, known);
		return known;
	}

	/** A request that is larger than the whole capacity runs alone. */
	#hasRoomFor(cost: number): boolean {
		return this.#inProgress === 0 ? this.#capacity > 0 : this.#inProgress + cost <= this.#capacity;
	}

	#start(queue: WorkspaceQueue, {id, cost}: AdmissionRequest): void {
		this.#virtualTime = Math.max(this.#virtualTime, queue.start);
		queue.finish = queue.start + (cost / queue.weight);
		queue.start = queue.finish;
		queue.inFlight++;
		this.#inProgress += cost;
		this.#admitted.set(id, {queue, cost});
	}

	#wait(queue: WorkspaceQueue, request: AdmissionRequest): void {
		if (queue.count === 0) {
			queue.start = Math.max(this.#virtualTime, queue.finish);
			queue.since = ++this.#waits;
			this.#waitingWeight += queue.weight;
		}

		queue.push(request);
		this.#waiting.set(request.id, request);
		this.#waitingCost += request.cost;
		this.#heap.place(queue);
	}

	#takeOut(queue: WorkspaceQueue, request: AdmissionRequest): void {
		queue.remove(request);
		this.#waiting.delete(request.id);
		this.#waitingCost -= request.cost;
	}

	#admitWhatFits(): RequestId[] {
		const admitted: RequestId[] = [];
		for (;;) {
			const queue = this.#heap.first;
			const request = queue?.peek();
			if (queue === undefined || request === undefined || !this.#hasRoomFor(request.cost)) {
				return admitted;
			}

			this.#takeOut(queue, request);
			this.#start(queue, request);
			admitted.push(request.id);
			this.#moveOn(queue);
		}
	}

	#moveOn(queue: WorkspaceQueue): void {
		if (queue.count > 0) {
			this.#heap.place(queue);
			return;
		}

		this.#heap.remove(queue);
		this.#waitingWeight -= queue.weight;
	}

	/** Charges what the estimate missed, so that a workspace gains nothing by low estimates. */
	#correct(queue: WorkspaceQueue, missed: number): void {
		queue.finish += missed / queue.weight;
		if (queue.count > 0) {
			queue.start += missed / queue.weight;
			this.#heap.place(queue);
		}
	}

	/** The lesser of the wait behind its own workspace at its share, and that behind everything. */
	#expectedWait(queue: WorkspaceQueue, {priority, weight, serviceMilliseconds}: AdmissionRequest, now: number): number {
		// Where the rate is not known, what is in progress is taken to last as long as the request itself will.
		const rate = this.#rate.perMillisecond(now) || this.#inProgress / serviceMilliseconds;
		if (!Number.isFinite(rate) || rate === 0) {
			return 0;
		}

		const ownShare = queue.costAhead(priority) * this.#waitingWeight / weight;
		return Math.min(ownShare, this.#waitingCost) / rate;
	}

	#forgetIdle(queue: WorkspaceQueue): void {
		if (queue.count === 0 && queue.inFlight === 0 && queue.finish <= this.#virtualTime) {
			this.#queues.delete(queue.workspace);
		}
	}
}

type RefusalOptions = {
	readonly waitMilliseconds: number;
	readonly now: number;
	/** Free places in the queue before the request came. */
	readonly free: number;
	/** Waiting requests of its workspace. */
	readonly others: number;
};

function refusalOf({workspace, deadline, serviceMilliseconds}: AdmissionRequest, {waitMilliseconds, now, free, others}: RefusalOptions): Failure | undefined {
	const late = now + waitMilliseconds + serviceMilliseconds - deadline;
	if (late > 0) {
		const retryAfterMilliseconds = Math.ceil(Math.max(leastRetryAfterMilliseconds, Math.min(late, waitMilliseconds)));
		const left = Math.max(0, Math.ceil(deadline - now));
		const message = `Got a wait of ${Math.ceil(waitMilliseconds)} ms and ${Math.ceil(serviceMilliseconds)} ms of work, wanted them within ${left} ms`;
		return failure('overloaded', message, {retryAfterMilliseconds});
	}

	if (others < free) {
		return undefined;
	}

	const message = `Got ${others} waiting requests of workspace ${workspace}, wanted fewer than ${Math.max(1, free)}`;
	return failure('limit-reached', message, {retryAfterMilliseconds: Math.ceil(waitMilliseconds) || unknownRetryAfterMilliseconds});
}
