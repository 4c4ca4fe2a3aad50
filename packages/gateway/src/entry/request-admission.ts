import {
	type Clock, type Failure, failure, type RandomSource, type RequestId, type ServiceId, toId,
} from '@valehitch/core';
import {
	type ContentionDecision, type ContentionPool, contentionPool, ContentionQueue, type ContentionRequest, type DecisionNotes, type HeldWork,
	type HoldGrounds, type PoolPicture, releaseIntervalMilliseconds, type ReleaseReason,
} from '@valehitch/routing';
import {type RouteTable} from '../configuration/route-table.js';
import {type DecisionLog} from '../logs/decision-log.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';
import {type ServerAvailability} from './server-availability.js';

/** A request before its first send. */
export type AdmissionCandidate = Omit<ContentionRequest, 'id'> & {
	/** The caller's id of the request. */
	readonly request: string;
	readonly service: ServiceId;
	/** Aborted when the request has ended, for example because its caller has left. */
	readonly ended: AbortSignal;
};

/** Options of {@linkcode RequestAdmission}. */
export type RequestAdmissionOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly random: RandomSource;
	readonly log: DecisionLog;
	/** Where holds and rejections are noted for operators. */
	readonly notes: Pick<DecisionNotes, 'record'>;
	readonly metrics: Pick<GatewayMetrics, 'heldRequests' | 'releases' | 'holdTime' | 'rejections'>;
	readonly availability: Pick<ServerAvailability, 'availableOf'>;
	/** Returns the load of the servers over all entry instances. */
	readonly picture: () => PoolPicture;
	/** Returns the current configuration; undefined until the first one is received. */
	readonly table: () => Pick<RouteTable, 'routesWithModels'> | undefined;
	/** Waits for a number of milliseconds. */
	readonly wait: (milliseconds: number) => Promise<void>;
	/** Returns when the instance stops, in milliseconds on the monotonic clock; undefined unless it is shutting down. */
	readonly endsAt: () => number | undefined;
};

/** Why the hold of a request ended. */
type HoldEnd = ReleaseReason | 'ended';

type Hold = {
	readonly candidate: AdmissionCandidate;
	readonly heldAt: number;
	readonly finish: () => void;
};

const millisecondsPerSecond = 1000;

/**
Holds requests before their first send while the servers of their service are busy, and rejects those that no server can serve in time. While the load of the servers is not known, and during a shutdown, all requests are sent at once.

@example
```ts
const rejected = await admission.admit(candidate);
if (rejected === undefined) send();
```
*/
export class RequestAdmission {
	readonly #options: RequestAdmissionOptions;
	readonly #queues = new Map<ServiceId, ContentionQueue>();
	readonly #holds = new Map<RequestId, Hold>();
	#lastId = 0;
	#isReleasing = false;

	constructor(options: RequestAdmissionOptions) {
		this.#options = options;
	}

	/**
	Returns the work that this instance holds back.

	@returns The work by priority.
	*/
	heldWork(): readonly HeldWork[] {
		const work = new Map<number, number>();
		for (const queue of this.#queues.values()) {
			for (const {priority, milliseconds} of queue.held) {
				work.set(priority, (work.get(priority) ?? 0) + milliseconds);
			}
		}

		return [...work].map(([priority, milliseconds]) => ({priority, milliseconds}));
	}

	/**
	Waits until a request may be sent for the first time or has ended.

	@param candidate The request.
	@returns The failure if no server can serve it in time; otherwise undefined.
	*/
	async admit(candidate: AdmissionCandidate): Promise<Failure | undefined> {
		const {service} = candidate;
		const now = this.#options.clock.monotonic();
		const pool = this.#poolOf(service);
		if (pool === undefined || candidate.ended.aborted) {
			return undefined;
		}

		const id = toId<RequestId>(String(++this.#lastId));
		const decision = this.#queueOf(service).offer({...candidate, id}, {now, pool});
		if (decision.type === 'rejected') {
			return this.#reject(candidate, decision);
		}

		if (decision.type === 'held') {
			this.#noteHold(candidate, {now, grounds: decision});
			await this.#hold(id, {candidate, heldAt: now});
		}

		return undefined;
	}

	/**
	Returns when a caller whose request the servers had no room for is best told to return.

	@param candidate The request.
	@returns Milliseconds; undefined while the servers are not known to be busy.
	*/
	retryAfter(candidate: AdmissionCandidate): number | undefined {
		const {service} = candidate;
		const id = toId<RequestId>(String(++this.#lastId));
		return this.#queueOf(service).retryAfter({...candidate, id}, {now: this.#options.clock.monotonic(), pool: this.#poolOf(service)});
	}

	#noteHold({request, service, priority, work}: AdmissionCandidate, {now, grounds}: {readonly now: number; readonly grounds: HoldGrounds}): void {
		const {wait, bound, room, heldHere, heldByOthers, predicted} = grounds;
		this.#options.notes.record(request, {
			at: now, kind: 'held', facts: {
				service, priority, work, wait, bound, room, heldHere, heldByOthers, predicted,
			},
		});
	}

	async #hold(id: RequestId, hold: Omit<Hold, 'finish'>): Promise<void> {
		const {candidate: {service, ended}} = hold;
		const onEnded = (): void => {
			this.#queueOf(service).cancel(id);
			this.#finish(id, 'ended');
		};

		ended.addEventListener('abort', onEnded);
		await new Promise<void>(resolve => {
			this.#holds.set(id, {...hold, finish: resolve});
			this.#options.metrics.heldRequests.set(this.#holds.size);
			void this.#releaseWhileHeld();
		});
		ended.removeEventListener('abort', onEnded);
	}

	async #releaseWhileHeld(): Promise<void> {
		if (this.#isReleasing) {
			return;
		}

		this.#isReleasing = true;
		this.#release();
		while (this.#holds.size > 0) {
			await this.#options.wait(releaseIntervalMilliseconds);
			this.#release();
		}

		this.#isReleasing = false;
	}

	#release(): void {
		const now = this.#options.clock.monotonic();
		for (const [service, queue] of this.#queues) {
			if (queue.isEmpty) {
				continue;
			}

			for (const {request: {id}, reason} of queue.release({now, pool: this.#poolOf(service)})) {
				this.#finish(id, reason);
			}
		}
	}

	#finish(id: RequestId, reason: HoldEnd): void {
		const hold = this.#holds.get(id);
		if (hold === undefined) {
			return;
		}

		const {metrics, log, notes, clock} = this.#options;
		const {candidate: {request, service, priority, work}, heldAt, finish} = hold;
		const now = clock.monotonic();
		const milliseconds = now - heldAt;
		this.#holds.delete(id);
		metrics.heldRequests.set(this.#holds.size);
		metrics.releases.inc({reason});
		metrics.holdTime.observe(milliseconds / millisecondsPerSecond);
		log('request-held', {
			request, service, priority, work: Math.round(work), held: Math.round(milliseconds), reason,
		});
		notes.record(request, {at: now, kind: 'released', facts: {reason, heldMilliseconds: milliseconds}});
		finish();
	}

	#reject({request, service, priority, work}: AdmissionCandidate, decision: Extract<ContentionDecision, {type: 'rejected'}>): Failure {
		const {metrics, log, notes, clock} = this.#options;
		const {
			retryAfterMilliseconds, workBefore, overrun, wait, bound, room, heldHere, heldByOthers, predicted,
		} = decision;
		metrics.rejections.inc();
		log('request-rejected', {
			request,
			service,
			priority,
			work: Math.round(work),
			workBefore: Math.round(workBefore),
			room: Math.round(room),
			held: Math.round(heldHere + heldByOthers),
			predicted: Math.round(predicted),
			overrun: Math.round(overrun),
			retryAfter: retryAfterMilliseconds,
		}, 'warn');
		notes.record(request, {
			at: clock.monotonic(), kind: 'rejected', facts: {
				service, priority, work, wait, bound, room, heldHere, heldByOthers, predicted, workBefore, overrun, retryAfterMilliseconds,
			},
		});
		const message = `All servers of ${service} are busy for ${Math.ceil(overrun)} ms longer than the deadline of the request allows`;
		return failure('overloaded', message, {retryAfterMilliseconds});
	}

	/** Returns what is known of the servers of a service; undefined if nothing may be held. */
	#poolOf(service: ServiceId): ContentionPool | undefined {
		const {picture, table, availability, endsAt} = this.#options;
		const known = picture();
		if (endsAt() !== undefined || known.age === Number.POSITIVE_INFINITY) {
			return undefined;
		}

		return contentionPool(known, {servers: availability.availableOf(service), routes: table()?.routesWithModels(service) ?? []});
	}

	#queueOf(service: ServiceId): ContentionQueue {
		const queue = this.#queues.get(service) ?? new ContentionQueue(this.#options);
		this.#queues.set(service, queue);
		return queue;
	}
}
