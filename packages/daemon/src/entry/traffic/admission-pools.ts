import {
	type Clock, type RequestId, versionKey, type WorkspaceId, type ZoneId,
} from '@valehitch/core';
import {type ServerTable} from '@valehitch/membership';
import {AdmissionController, type RequestEvent, type RequestTarget} from '@valehitch/routing';
import {type Member} from '../../member.js';

/** Options of {@linkcode AdmissionPools}. */
export type AdmissionPoolsOptions = {
	readonly clock: Clock;
	readonly servers: ServerTable;
	/** Returns the availability zones whose servers get no requests. */
	readonly evacuatedZones: () => ReadonlySet<ZoneId>;
	readonly self: Pick<Member, 'instance'>;
	/** The instances that share the servers. */
	readonly members: () => readonly Member[];
};

/** A request for admission. */
export type AdmissionDemand = {
	readonly id: RequestId;
	readonly workspace: WorkspaceId;
	readonly target: RequestTarget;
	/** The weight of the workspace. */
	readonly weight: number;
	/** The priority; lower values are admitted first. */
	readonly priority: number;
	/** The estimated number of tokens of the prompt and the answer. */
	readonly cost: number;
	/** When the last byte is due, in milliseconds of the monotonic clock. */
	readonly deadline: number;
};

type Pool = {
	readonly admission: AdmissionController;
	readonly target: RequestTarget;
	/** Exponentially weighted means of the actual cost, the estimated cost and the duration of requests. */
	meanCost: number;
	meanEstimate: number;
	meanMilliseconds: number;
	/** The number of requests in the means. */
	sampleCount: number;
	refreshedAt: number;
	/** When each admitted request began. */
	readonly beganAt: Map<RequestId, number>;
};

/** A request that was submitted to its pool and has not ended. */
type SubmittedRequest = {
	readonly pool: Pool;
	/** The estimated cost. */
	readonly estimate: number;
};

const headroom = 2;
const minimumMeanWeight = 0.05;
const refreshMilliseconds = 250;

/**
Admits requests according to the capacity of the servers that can serve them, with one pool for each version and each service.

Each instance may use twice its equal share of the servers' capacity, since callers are not distributed evenly over the instances.

@example
```ts
const event = await pools.admit(demand);
pools.end(demand.id, {tokens: 812});
```
*/
export class AdmissionPools {
	readonly #options: AdmissionPoolsOptions;
	readonly #pools = new Map<string, Pool>();
	readonly #submitted = new Map<RequestId, SubmittedRequest>();
	readonly #waiting = new Map<RequestId, (event: RequestEvent) => void>();

	constructor(options: AdmissionPoolsOptions) {
		this.#options = options;
	}

	/** The number of waiting requests. */
	get waiting(): number {
		return this.#waiting.size;
	}

	/**
	Requests admission.

	@param demand The request.
	@returns The event that admits or refuses the request, once its turn has come. A request that no server can serve is admitted, so that it fails with the reason.
	*/
	async admit(demand: AdmissionDemand): Promise<RequestEvent> {
		const pool = this.#poolFor(demand);
		const now = this.#options.clock.monotonic();
		if (!this.#refresh(pool, now)) {
			return {type: 'admitted'};
		}

		const answer = pool.admission.offer({...demand, cost: correctedCost(pool, demand.cost), serviceMilliseconds: pool.meanMilliseconds}, now);
		this.#markAdmitted(pool, answer.unblocked);
		if (answer.type === 'refused') {
			return {type: 'admission-refused', failure: answer.failure};
		}

		this.#submitted.set(demand.id, {pool, estimate: demand.cost});
		if (answer.type === 'admitted') {
			pool.beganAt.set(demand.id, now);
			return {type: 'admitted'};
		}

		return new Promise(resolve => {
			this.#waiting.set(demand.id, resolve);
		});
	}

	/**
	Ends an admitted or waiting request.

	@param id The request.
	@param tokens The number of tokens that it used.
	*/
	end(id: RequestId, tokens: number): void {
		const submitted = this.#submitted.get(id);
		if (submitted === undefined) {
			return;
		}

		const {pool, estimate} = submitted;
		this.#submitted.delete(id);
		const now = this.#options.clock.monotonic();
		const beganAt = pool.beganAt.get(id);
		if (beganAt === undefined) {
			this.#waiting.delete(id);
			this.#markAdmitted(pool, pool.admission.cancel(id));
			return;
		}

		pool.beganAt.delete(id);
		if (tokens > 0) {
			pool.sampleCount++;
			const weight = Math.max(minimumMeanWeight, 1 / pool.sampleCount);
			pool.meanCost += weight * (tokens - pool.meanCost);
			pool.meanEstimate += weight * (estimate - pool.meanEstimate);
			pool.meanMilliseconds += weight * (now - beganAt - pool.meanMilliseconds);
		}

		this.#markAdmitted(pool, pool.admission.release(id, {tokens, now}));
	}

	/** Updates the capacity of pools with waiting requests and removes unused pools; called every few hundred milliseconds. */
	refresh(): void {
		const now = this.#options.clock.monotonic();
		for (const [key, pool] of this.#pools) {
			if (pool.admission.waiting > 0) {
				this.#refresh(pool, now);
			} else if (pool.beganAt.size === 0 && this.#capacityOf(pool) === 0) {
				this.#pools.delete(key);
			}
		}
	}

	#poolFor({target, cost}: AdmissionDemand): Pool {
		const key = target.type === 'version' ? versionKey(target.model, target.version) : target.service;
		const existing = this.#pools.get(key);
		if (existing !== undefined) {
			return existing;
		}

		const pool: Pool = {
			admission: new AdmissionController({capacity: 0}),
			target,
			meanCost: cost,
			meanEstimate: cost,
			meanMilliseconds: 0,
			sampleCount: 0,
			refreshedAt: Number.NEGATIVE_INFINITY,
			beganAt: new Map(),
		};
		this.#pools.set(key, pool);
		return pool;
	}

	/** Updates the capacity of a pool, at most once per refresh interval; returns whether the pool has any. */
	#refresh(pool: Pool, now: number): boolean {
		if (now - pool.refreshedAt < refreshMilliseconds) {
			return true;
		}

		const capacity = this.#capacityOf(pool);
		if (capacity > 0) {
			pool.refreshedAt = now;
		}

		this.#markAdmitted(pool, pool.admission.setCapacity(capacity));
		return capacity > 0;
	}

	#capacityOf({target, meanCost}: Pool): number {
		let slots = 0;
		const evacuatedZones = this.#options.evacuatedZones();
		for (const {announcement: {capacity, models, service, zone}, state} of this.#options.servers.available()) {
			const serves = target.type === 'service'
				? service === target.service
				: models.some(({model, version}) => model === target.model && version === target.version);
			slots += serves && state === 'joined' && !evacuatedZones.has(zone) ? capacity : 0;
		}

		const instanceCount = Math.max(1, this.#options.members().length);
		return slots === 0 ? 0 : Math.max(1, slots * headroom / instanceCount) * meanCost;
	}

	#markAdmitted(pool: Pool, admitted: readonly RequestId[]): void {
		for (const id of admitted) {
			pool.beganAt.set(id, this.#options.clock.monotonic());
			this.#waiting.get(id)?.({type: 'admitted'});
			this.#waiting.delete(id);
		}
	}
}

/** Corrects an estimate by the ratio of actual to estimated cost so far. The capacity is in actual tokens, so estimates that are several times too high would leave most of it unused. */
function correctedCost({meanCost, meanEstimate}: Pool, estimate: number): number {
	return estimate * meanCost / meanEstimate;
}
