import {
	type Clock, type RequestId, versionKey, type WorkspaceId,
} from '@valehitch/core';
import {type ServerTable} from '@valehitch/membership';
import {Admission, type RequestEvent, type RequestTarget} from '@valehitch/routing';
import {type Member} from '../../member.js';

/** What the pools work with. */
export type AdmissionPoolsOptions = {
	readonly clock: Clock;
	readonly servers: ServerTable;
	readonly self: Pick<Member, 'instance'>;
	/** The instances that share the servers. */
	readonly members: () => readonly Member[];
};

/** A request that asks for admission. */
export type Demand = {
	readonly id: RequestId;
	readonly workspace: WorkspaceId;
	readonly target: RequestTarget;
	/** The workspace's weight. */
	readonly weight: number;
	/** Lower is sooner. */
	readonly priority: number;
	/** The estimate of its tokens, prompt and answer. */
	readonly cost: number;
	/** When its last byte is due, in milliseconds on the monotonic clock. */
	readonly deadline: number;
};

type Pool = {
	readonly admission: Admission;
	readonly target: RequestTarget;
	/** Means of what requests cost, of what they were expected to cost and of how long they take, in which recent ones weigh more. */
	meanCost: number;
	meanEstimate: number;
	meanMilliseconds: number;
	/** How many requests the means are made of. */
	seen: number;
	refreshedAt: number;
	/** When each admitted request began. */
	readonly began: Map<RequestId, number>;
};

/** A request that was offered to its pool and has not ended. */
type Offered = {
	readonly pool: Pool;
	/** What it was expected to cost. */
	readonly estimate: number;
};

const headroom = 2;
const leastMeanWeight = 0.05;
const refreshMilliseconds = 250;

/**
Admits requests by the capacity of the servers that can serve them: one pool for each version and each service.

An instance may use twice its equal share of the servers' capacity, since callers do not spread evenly over the instances.

@example
```ts
const event = await pools.admit(demand);
pools.end(demand.id, {tokens: 812});
```
*/
export class AdmissionPools {
	readonly #options: AdmissionPoolsOptions;
	readonly #pools = new Map<string, Pool>();
	readonly #offered = new Map<RequestId, Offered>();
	readonly #waiting = new Map<RequestId, (event: RequestEvent) => void>();

	constructor(options: AdmissionPoolsOptions) {
		this.#options = options;
	}

	/** How many requests wait. */
	get waiting(): number {
		return this.#waiting.size;
	}

	/**
	Asks for admission.

	@param demand The request.
	@returns When its turn came, or it was refused; a request that nothing can serve is let through to be told so.
	*/
	async admit(demand: Demand): Promise<RequestEvent> {
		const pool = this.#poolFor(demand);
		const now = this.#options.clock.monotonic();
		if (!this.#refresh(pool, now)) {
			return {type: 'admitted'};
		}

		const answer = pool.admission.offer({...demand, cost: likelyCost(pool, demand.cost), serviceMilliseconds: pool.meanMilliseconds}, now);
		if (answer.type === 'refused') {
			return {type: 'admission-refused', failure: answer.failure};
		}

		this.#offered.set(demand.id, {pool, estimate: demand.cost});
		if (answer.type === 'admitted') {
			pool.began.set(demand.id, now);
			return {type: 'admitted'};
		}

		return new Promise(resolve => {
			this.#waiting.set(demand.id, resolve);
		});
	}

	/**
	Ends a request, be it admitted or still waiting.

	@param id The request.
	@param tokens The tokens that it really used.
	*/
	end(id: RequestId, tokens: number): void {
		const offered = this.#offered.get(id);
		if (offered === undefined) {
			return;
		}

		const {pool, estimate} = offered;
		this.#offered.delete(id);
		const now = this.#options.clock.monotonic();
		const began = pool.began.get(id);
		if (began === undefined) {
			this.#waiting.delete(id);
			this.#begin(pool, pool.admission.leave(id));
			return;
		}

		pool.began.delete(id);
		if (tokens > 0) {
			pool.seen++;
			const weight = Math.max(leastMeanWeight, 1 / pool.seen);
			pool.meanCost += weight * (tokens - pool.meanCost);
			pool.meanEstimate += weight * (estimate - pool.meanEstimate);
			pool.meanMilliseconds += weight * (now - began - pool.meanMilliseconds);
		}

		this.#begin(pool, pool.admission.release(id, {tokens, now}));
	}

	/** Looks at the capacity of the pools in which requests wait; called every few hundred milliseconds. */
	refresh(): void {
		const now = this.#options.clock.monotonic();
		for (const [key, pool] of this.#pools) {
			if (pool.admission.waiting > 0) {
				this.#refresh(pool, now);
			} else if (pool.began.size === 0 && this.#capacityOf(pool) === 0) {
				this.#pools.delete(key);
			}
		}
	}

	#poolFor({target, cost}: Demand): Pool {
		const key = target.type === 'version' ? versionKey(target.model, target.version) : target.service;
		const known = this.#pools.get(key);
		if (known !== undefined) {
			return known;
		}

		const pool: Pool = {
			admission: new Admission({capacity: 0}), target, meanCost: cost, meanEstimate: cost, meanMilliseconds: 0, seen: 0, refreshedAt: Number.NEGATIVE_INFINITY, began: new Map(),
		};
		this.#pools.set(key, pool);
		return pool;
	}

	/** Brings the capacity up to date; gives whether there is any. */
	#refresh(pool: Pool, now: number): boolean {
		if (now - pool.refreshedAt < refreshMilliseconds) {
			return true;
		}

		const capacity = this.#capacityOf(pool);
		if (capacity > 0) {
			pool.refreshedAt = now;
		}

		this.#begin(pool, pool.admission.setCapacity(capacity));
		return capacity > 0;
	}

	#capacityOf({target, meanCost}: Pool): number {
		let slots = 0;
		for (const {announcement: {capacity, models, service}, state} of this.#options.servers.current()) {
			const serves = target.type === 'service'
				? service === target.service
				: models.some(({model, version}) => model === target.model && version === target.version);
			slots += serves && state === 'joined' ? capacity : 0;
		}

		const sharers = Math.max(1, this.#options.members().length);
		return slots === 0 ? 0 : Math.max(1, slots * headroom / sharers) * meanCost;
	}

	#begin(pool: Pool, admitted: readonly RequestId[]): void {
		for (const id of admitted) {
			pool.began.set(id, this.#options.clock.monotonic());
			this.#waiting.get(id)?.({type: 'admitted'});
			this.#waiting.delete(id);
		}
	}
}

/** The estimate put right by how far those before it were wrong: the capacity is in real tokens, and requests that are expected to be several times as large would leave most places empty. */
function likelyCost({meanCost, meanEstimate}: Pool, estimate: number): number {
	return estimate * meanCost / meanEstimate;
}
