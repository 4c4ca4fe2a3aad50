import {type RandomSource, type RequestId} from '@valehitch/core';
import {atLeast, boundedRequest, minimumWork} from './_bounded-request.js';
import {type ContentionPool} from './contention-pool.js';
import {
	type ContentionDecision, type ContentionRequest, type HoldGrounds, type ReleasedRequest,
} from './contention-request.js';
import {HeldPriority, type HeldRequest} from './_held-priority.js';
import {heldAt, heldUpTo} from './_held-work.js';
import {
	meanWait, medianWait, processingRate, roomBelow, unusedBelow, workAbove,
} from './_pool-room.js';
import {type HeldWork} from './pool-picture.js';

/** Options of {@linkcode ContentionQueue}. */
export type ContentionQueueOptions = {
	readonly random: RandomSource;
	/** The mean wait up to which servers have room, as a share of the target latency of the most urgent requests; 0.55 by default. */
	readonly boundShare?: number;
};

/** When a decision is made, and what is known of the pool. */
export type ContentionState = {
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** The servers; undefined if their load is not known, and then nothing is held. */
	readonly pool: ContentionPool | undefined;
};

/** What is known of the room for a request before its first event is predicted. */
type RoomGrounds = Omit<HoldGrounds, 'predicted'>;

/** The longest time that a request is held unless it is predicted to be served in time, as a share of its target latency. */
export const maximumHoldShare = 0.25;
/** A request that is held for longer is sent this share of its target latency before it can only just meet its target, since the prediction may be wrong. */
const reserveShare = 0.1;
const defaultBoundShare = 0.55;
/** The longest wait that counts of one server, as a multiple of the most urgent target latency: a single server that is far behind says little of the others. */
const longestWaitShare = 1.5;
/** A request with less time left than this share of its target latency is not held. */
const minimumTimeShare = 0.5;
/** The share of the bound up to which the mean wait tells of idle servers: work held elsewhere is then of another service, or is released at once. */
const idleShare = 0.5;
/** The longest time between two calls of `release` while requests are held, in milliseconds: a small part of the shortest target latency. */
export const releaseIntervalMilliseconds = 40;
/** A request is rejected if the time that it needs exceeds the time left by this factor. */
const rejectionFactor = 1.25;
/** The shortest retry delay, in milliseconds. */
const minimumRetryMilliseconds = 250;
/** The longest retry delay, as a share of the time left. */
const maximumRetryShare = 1 / 3;
/** Retry delays are lengthened by up to this share at random, so that callers return at different times. */
const retryScatter = 0.5;
/** The time in which the waits return to the bound, as a multiple of the age of the picture: what was released shows only after that age, and a shorter time would overshoot. */
const correctionFactor = 1.25;
/** The shortest such time, in milliseconds. */
const minimumCorrectionMilliseconds = 200;

/**
Holds less urgent requests for a short time while the servers of a service are busy, so that urgent ones meet a short wait at all servers. It answers bursts in which callers of several urgencies compete for the time in which servers process prompts.

Each entry instance has its own queue and releases at the part of the pool's rate that its held work has in that of all instances. Requests are released by priority, then in the order of start-time fair queueing (Goyal, Vin and Cheng, 1997) over workspaces, then by deadline. The most urgent ones are never held.

None is held for longer than a quarter of its target latency unless it is predicted to be served in time, and then only while it can be, so none starves. None that was held is rejected.

@example
```ts
const queue = new ContentionQueue({random});
if (queue.offer(request, {now, pool}).type === 'held') {
	for (const {request: {id}} of queue.release({now, pool})) {
		send(id);
	}
}
```
*/
export class ContentionQueue {
	readonly #random: RandomSource;
	readonly #boundShare: number;
	/** The held requests by priority, the most urgent first. */
	#priorities: HeldPriority[] = [];

	constructor({random, boundShare = defaultBoundShare}: ContentionQueueOptions) {
		this.#random = random;
		this.#boundShare = boundShare;
	}

	/** The held work by priority. */
	get held(): readonly HeldWork[] {
		const held: HeldWork[] = [];
		for (const {priority, work} of this.#priorities) {
			if (work > 0) {
				held.push({priority, milliseconds: work});
			}
		}

		return held;
	}

	/** Whether no request is held. */
	get isEmpty(): boolean {
		return this.#priorities.every(({first}) => first === undefined);
	}

	/**
	Decides whether a request is sent at once, held or rejected.

	@param offered The request. A priority, a work or a target that cannot be read counts as the least favourable one.
	@param state The time and the pool.
	@returns The decision; a rejected request has not run.
	*/
	offer(offered: ContentionRequest, {now, pool}: ContentionState): ContentionDecision {
		const request = boundedRequest(offered);
		if (pool === undefined || request.priority <= pool.urgentPriority) {
			return {type: 'send'};
		}

		const poolRoom = this.#roomFor(request.priority, pool);
		if (hasRoomAtOnce(poolRoom)) {
			return {type: 'send'};
		}

		const grounds = {...poolRoom, predicted: predictedFirstEvent(request, {...poolRoom, servers: pool.servers})};
		const timeLeft = request.deadlineAt - now;
		// A request is rejected for all that it needs, while others wait for a bounded part of it.
		const overrun = grounds.predicted - request.work + atLeast(offered.work, minimumWork) - timeLeft;
		// Others may overtake what waits in the servers, so that their waits are not known for certain.
		const isLeastUrgent = request.priority >= pool.patientPriority;
		if (isLeastUrgent && overrun > (rejectionFactor - 1) * timeLeft && isBusyFor(request, {grounds, pool})) {
			return this.#reject(request, {
				grounds, overrun, now, pool,
			});
		}

		const held: HeldRequest = {...request, isPredictedInTime: now + grounds.predicted <= answerBy(request)};
		const isNearDeadline = timeLeft < minimumTimeShare * request.targetLatency;
		if (isNearDeadline || latestSendAt(held, {now, wait: medianWait(pool.servers)}) <= now) {
			return {type: 'send'};
		}

		this.#priorityOf(request.priority).add(held);
		return {type: 'held', ...grounds};
	}

	/**
	Releases the held requests for which there is room or which may be held no longer.

	@param state The time and the pool.
	@returns The requests, in the order in which they are to be sent.
	*/
	release({now, pool}: ContentionState): readonly ReleasedRequest[] {
		if (pool === undefined) {
			return this.#releaseWhere(() => true, 'off');
		}

		const wait = medianWait(pool.servers);
		const released = this.#releaseWhere(request => latestSendAt(request, {now, wait}) <= now, 'time');
		return [...released, ...this.#releaseIntoRoom(pool, now)];
	}

	/**
	Returns when a caller whose request found no room is best told to return.

	@param offered The request.
	@param state The time and the pool.
	@returns Milliseconds; undefined while the pool is not known to be busy.
	*/
	retryAfter(offered: ContentionRequest, {now, pool}: ContentionState): number | undefined {
		return pool === undefined || waitOf(pool) <= this.#boundOf(pool) ? undefined : this.#delayUntilRoom(boundedRequest(offered), {now, pool});
	}

	/**
	Drops a held request whose caller has left.

	@param id The request.
	*/
	cancel(id: RequestId): void {
		for (const held of this.#priorities) {
			for (const request of held.requests) {
				if (request.id === id) {
					held.remove(request);
					return;
				}
			}
		}
	}

	#boundOf({urgentTarget}: ContentionPool): number {
		return Math.round(this.#boundShare * urgentTarget);
	}

	#roomFor(priority: number, pool: ContentionPool): RoomGrounds {
		const bound = this.#boundOf(pool);
		return {
			wait: waitOf(pool),
			bound,
			room: roomBelow(pool.servers, {bound, longest: longestWaitShare * pool.urgentTarget}),
			heldHere: this.#heldBefore(priority),
			heldByOthers: heldUpTo(pool.heldByOthers, priority),
		};
	}

	/** Releases at this instance's share of the rate that keeps the waits at the bound, the most urgent requests first. */
	#releaseIntoRoom(pool: ContentionPool, now: number): readonly ReleasedRequest[] {
		const released: ReleasedRequest[] = [];
		const correction = Math.max(minimumCorrectionMilliseconds, correctionFactor * pool.age);
		// What servers process in the meantime, and what is missing up to the bound.
		const room = roomBelow(pool.servers, {bound: this.#boundOf(pool) + correction, longest: longestWaitShare * pool.urgentTarget});
		for (const held of this.#priorities) {
			const others = heldAt(pool.heldByOthers, held.priority);
			const share = held.work / Math.max(minimumWork, held.work + others);
			const moreUrgent = this.#heldBefore(held.priority - 1) + heldUpTo(pool.heldByOthers, held.priority - 1);
			held.credit.accrue(share * Math.max(0, room - moreUrgent) / correction, now);
			for (let {first} = held; first !== undefined && held.credit.trySpend(first.work); {first} = held) {
				held.release(first);
				released.push({request: first, reason: 'room'});
			}
		}

		return released;
	}

	#releaseWhere(isDue: (request: HeldRequest) => boolean, reason: ReleasedRequest['reason']): readonly ReleasedRequest[] {
		const released: ReleasedRequest[] = [];
		for (const held of this.#priorities) {
			for (const request of held.requests) {
				if (isDue(request)) {
					held.release(request);
					released.push({request, reason});
				}
			}
		}

		return released;
	}

	#reject(request: ContentionRequest, {grounds, overrun, now, pool}: ContentionState & {readonly grounds: HoldGrounds; readonly overrun: number; readonly pool: ContentionPool}): ContentionDecision {
		return {
			type: 'rejected', ...grounds, workBefore: this.#workBefore(request, pool), overrun, retryAfterMilliseconds: this.#delayUntilRoom(request, {now, pool}),
		};
	}

	/** Returns the work that is released before a request that arrives now, and beyond the room. */
	#workBefore({priority}: ContentionRequest, pool: ContentionPool): number {
		return workAbove(pool.servers, this.#boundOf(pool)) + this.#heldBefore(priority) + heldUpTo(pool.heldByOthers, priority);
	}

	#delayUntilRoom(request: ContentionRequest, {now, pool}: {readonly now: number; readonly pool: ContentionPool}): number {
		const untilRoom = (this.#workBefore(request, pool) + request.work) / processingRate(pool.servers);
		const longest = Math.max(0, maximumRetryShare * (request.deadlineAt - now) / (1 + retryScatter));
		const delay = Math.min(longest, Math.max(minimumRetryMilliseconds, untilRoom));
		return Math.floor(delay * (1 + (retryScatter * this.#random())));
	}

	/** Returns the work held in this queue of a priority and of all that are more urgent. */
	#heldBefore(priority: number): number {
		return heldUpTo(this.held, priority);
	}

	#priorityOf(priority: number): HeldPriority {
		const known = this.#priorities.find(held => held.priority === priority);
		if (known !== undefined) {
			return known;
		}

		const added = new HeldPriority(priority, this.#random);
		this.#priorities = [...this.#priorities, added].toSorted((one, other) => one.priority - other.priority);
		return added;
	}
}

/** Checks whether a request finds room that nothing held before it needs. */
function hasRoomAtOnce({wait, bound, room, heldHere, heldByOthers}: RoomGrounds): boolean {
	return heldHere === 0 && !(wait > bound) && (heldByOthers === 0 || heldByOthers < room);
}

/** Predicts the time to the first event of a request, in milliseconds. */
function predictedFirstEvent({work}: ContentionRequest, {heldHere, heldByOthers, servers}: Pick<RoomGrounds, 'heldHere' | 'heldByOthers'> & Pick<ContentionPool, 'servers'>): number {
	return ((heldHere + heldByOthers) / processingRate(servers)) + medianWait(servers) + work;
}

/** Checks whether a request finds no idle server that work held before it does not need. */
function isBusyFor({work}: ContentionRequest, {grounds: {wait, bound, heldHere, heldByOthers}, pool}: {readonly grounds: HoldGrounds; readonly pool: ContentionPool}): boolean {
	return wait > idleShare * bound && unusedBelow(pool.servers, bound) < heldHere + heldByOthers + work;
}

/** Returns until when the first event of a request is of use: its target or, if that is earlier, the last moment from which its answer ends by its deadline. */
function answerBy({arrivedAt, targetLatency, deadlineAt, answerTime = 0}: ContentionRequest): number {
	return Math.min(arrivedAt + targetLatency, Number.isNaN(deadlineAt) ? Number.POSITIVE_INFINITY : deadlineAt - atLeast(answerTime, 0));
}

function waitOf({servers, urgentTarget}: ContentionPool): number {
	return meanWait(servers, longestWaitShare * urgentTarget);
}

/** Returns from when a request is held no longer, since the next release may be too late: after a share of its target latency, or when it can only just meet its target or its deadline. */
function latestSendAt(request: HeldRequest, {now, wait}: {readonly now: number; readonly wait: number}): number {
	const {arrivedAt, targetLatency, work, isPredictedInTime} = request;
	const afterShare = arrivedAt + (maximumHoldShare * targetLatency);
	const lastMoment = answerBy(request) - wait - work;
	const latest = lastMoment >= now ? Math.min(afterShare, lastMoment) : afterShare;
	return (isPredictedInTime ? Math.max(latest, lastMoment - (reserveShare * targetLatency)) : latest) - releaseIntervalMilliseconds;
}
