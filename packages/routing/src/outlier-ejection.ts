import {type ServerId} from '@valehitch/core';

/** When a server is ejected, and for how long. */
export type OutlierEjectionOptions = {
	/** The weight of the latest outcome in the moving average of the failure rate; 0.2 by default. */
	readonly weight?: number;
	/** The failure rate at which a server is ejected; 0.6 by default, which five consecutive failures reach. */
	readonly threshold?: number;
	/** The duration of the first ejection in milliseconds, which doubles with each further one; 5000 by default. */
	readonly baseMilliseconds?: number;
	/** The maximum duration of an ejection in milliseconds; 300,000 by default. */
	readonly maximumMilliseconds?: number;
	/** The maximum share of the servers that may be ejected at once; 0.3 by default. */
	readonly maximumShare?: number;
};

type ServerHealth = {
	failureRate: number;
	ejections: number;
	/** When the latest ejection ends; 0 if there was none. */
	ejectedUntil: number;
};

const failureRateAfterEjection = 0.5;
const recoveredFailureRate = 0.01;

/**
Ejects servers whose requests fail, for a duration that doubles with each ejection, up to a maximum share of all servers.

@example
```ts
const ejection = new OutlierEjection();
ejection.record(server, {failed: true, now, servers: 13});
ejection.isEjected(server, now);
```
*/
export class OutlierEjection {
	readonly #options: Required<OutlierEjectionOptions>;
	readonly #servers = new Map<ServerId, ServerHealth>();

	constructor(options: OutlierEjectionOptions = {}) {
		this.#options = {
			weight: 0.2, threshold: 0.6, baseMilliseconds: 5000, maximumMilliseconds: 300_000, maximumShare: 0.3, ...options,
		};
	}

	/** The number of servers with recent failures or ejections. */
	get size(): number {
		return this.#servers.size;
	}

	/**
	Records the outcome of one request.

	@param server The server.
	@param options Whether the request failed through a fault of the server, the time, and the number of servers.
	@returns Whether this outcome ejected the server.
	*/
	record(server: ServerId, {failed, now, servers}: RecordOutcomeOptions): boolean {
		const health = this.#servers.get(server) ?? {failureRate: 0, ejections: 0, ejectedUntil: 0};
		const {weight, threshold} = this.#options;
		health.failureRate += weight * ((failed ? 1 : 0) - health.failureRate);
		if (!failed) {
			this.#deleteIfRecovered(server, now);
			return false;
		}

		this.#servers.set(server, health);
		// The failure rate accumulates rounding errors, so it is compared with a margin.
		const isOutlier = health.failureRate >= threshold - Number.EPSILON;
		if (!isOutlier || this.isEjected(server, now) || !this.#canEject(now, servers)) {
			return false;
		}

		this.#eject(health, now);
		return true;
	}

	/**
	Checks whether a server is ejected.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns Whether it gets no requests at present.
	*/
	isEjected(server: ServerId, now: number): boolean {
		return (this.#servers.get(server)?.ejectedUntil ?? 0) > now;
	}

	/**
	Forgets a server that has left.

	@param server The server.
	*/
	forget(server: ServerId): void {
		this.#servers.delete(server);
	}

	#eject(health: ServerHealth, now: number): void {
		const {baseMilliseconds, maximumMilliseconds} = this.#options;
		health.ejectedUntil = now + Math.min(maximumMilliseconds, baseMilliseconds * (2 ** health.ejections));
		health.ejections++;
		// After its return, a single failure ejects the server again unless a few successes precede it.
		health.failureRate = failureRateAfterEjection;
	}

	#deleteIfRecovered(server: ServerId, now: number): void {
		const health = this.#servers.get(server);
		if (health !== undefined && health.failureRate < recoveredFailureRate && health.ejectedUntil <= now) {
			this.#servers.delete(server);
		}
	}

	#canEject(now: number, servers: number): boolean {
		let ejected = 0;
		for (const {ejectedUntil} of this.#servers.values()) {
			ejected += ejectedUntil > now ? 1 : 0;
		}

		return ejected + 1 <= this.#options.maximumShare * servers;
	}
}

/** The outcome of one request. */
export type RecordOutcomeOptions = {
	readonly failed: boolean;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** The number of servers. */
	readonly servers: number;
};
