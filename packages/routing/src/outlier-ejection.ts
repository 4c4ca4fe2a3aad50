import {type ServerId} from '@valehitch/core';

/** When a server is ejected, and for how long. */
export type OutlierEjectionOptions = {
	/** The weight of the latest outcome in the failure rate; 0.2 by default. */
	readonly weight?: number;
	/** The failure rate at which a server is ejected; 0.6 by default, which five failures in a row reach. */
	readonly threshold?: number;
	/** The first ejection in milliseconds; each further one doubles; 5000 by default. */
	readonly baseMilliseconds?: number;
	/** The longest ejection in milliseconds; 300,000 by default. */
	readonly maximumMilliseconds?: number;
	/** The largest share of the servers that may be ejected at once; 0.3 by default. */
	readonly maximumShare?: number;
};

type ServerHealth = {
	failureRate: number;
	ejections: number;
	/** Until when it is ejected; 0 for not. */
	ejectedUntil: number;
};

const rateAfterReturn = 0.5;
const forgottenRate = 0.01;

/**
Ejects servers whose requests fail, for a time that doubles with each ejection, and never more than a share of all.

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

	/** How many servers have a failure on record. */
	get size(): number {
		return this.#servers.size;
	}

	/**
	Takes the outcome of one request.

	@param server The server.
	@param options Whether the request failed by the server's fault, the time, and how many servers there are.
	@returns Whether the server was ejected now.
	*/
	record(server: ServerId, {failed, now, servers}: RecordOutcomeOptions): boolean {
		const health = this.#servers.get(server) ?? {failureRate: 0, ejections: 0, ejectedUntil: 0};
		const {weight, threshold} = this.#options;
		health.failureRate += weight * ((failed ? 1 : 0) - health.failureRate);
		if (!failed) {
			this.#recover(server, now);
			return false;
		}

		this.#servers.set(server, health);
		// The sum of the weights is a fraction, so it is compared with a margin.
		const isOutlier = health.failureRate >= threshold - Number.EPSILON;
		if (!isOutlier || this.isEjected(server, now) || !this.#hasRoom(now, servers)) {
			return false;
		}

		this.#eject(health, now);
		return true;
	}

	/**
	Tells whether a server is ejected.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns Whether it gets no requests now.
	*/
	isEjected(server: ServerId, now: number): boolean {
		return (this.#servers.get(server)?.ejectedUntil ?? 0) > now;
	}

	/**
	Forgets a server that is gone.

	@param server The server.
	*/
	forget(server: ServerId): void {
		this.#servers.delete(server);
	}

	#eject(health: ServerHealth, now: number): void {
		const {baseMilliseconds, maximumMilliseconds} = this.#options;
		health.ejectedUntil = now + Math.min(maximumMilliseconds, baseMilliseconds * (2 ** health.ejections));
		health.ejections++;
		// One failure after the return ejects it again, and a few good answers clear it.
		health.failureRate = rateAfterReturn;
	}

	#recover(server: ServerId, now: number): void {
		const health = this.#servers.get(server);
		if (health !== undefined && health.failureRate < forgottenRate && health.ejectedUntil <= now) {
			this.#servers.delete(server);
		}
	}

	#hasRoom(now: number, servers: number): boolean {
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
	/** How many servers there are. */
	readonly servers: number;
};
