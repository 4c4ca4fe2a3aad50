import {type ServerId, type ServiceId} from '@valehitch/core';
import {
	LeasedRateLimiter, type LeasedRateLimiterOptions, type ReceivedRateLeases, RequestedPauses,
} from '@valehitch/routing';
import {type ServerRecord} from '../servers/server-record.js';
import {KnownRateLimits} from './known-rate-limits.js';
import {BrittleServers} from './brittle-servers.js';
import {type TrackedServer} from './tracked-server.js';

/** Options of {@linkcode SendLimits}. */
export type SendLimitsOptions = LeasedRateLimiterOptions & {
	/** Returns how long the servers of a service are cold after their start, in milliseconds; undefined if they tolerate as many requests as otherwise. */
	readonly coldDurationOf?: ((service: ServiceId) => number | undefined) | undefined;
	/** Returns how many places of a brittle server this instance may use; by default all of them. */
	readonly placesOf?: ((server: ServerRecord) => number) | undefined;
};

/** The time after which a place of a server may be free, in milliseconds. */
const placeWaitMilliseconds = 250;

/**
What servers tolerate of an instance's sends: few while they are cold, those of a rate limit that they name, its part of the places of a brittle one, and none in a pause.

@example
```ts
const limits = new SendLimits({startedAt});
limits.rates.hear(server.record, {requestsPerSecond: 1.7, now});
limits.waitFor(server, now);
```
*/
export class SendLimits {
	/** The rate limits that servers name. */
	readonly rates: KnownRateLimits;
	/** The pauses that servers ask this instance for, or that follow a rejection by a brittle one. */
	readonly pauses = new RequestedPauses();
	/** The servers that fall over if they have to reject many requests. */
	readonly brittle = new BrittleServers();
	readonly #placesOf: (server: ServerRecord) => number;
	readonly #coldDurationOf: SendLimitsOptions['coldDurationOf'];
	readonly #coldLimiter: LeasedRateLimiter;

	constructor({coldDurationOf, placesOf = ({slots}) => slots, ...options}: SendLimitsOptions) {
		this.#placesOf = placesOf;
		this.#coldDurationOf = coldDurationOf;
		this.#coldLimiter = new LeasedRateLimiter(options);
		this.rates = new KnownRateLimits(options);
	}

	/**
	Applies the leases for sends to cold servers that a control instance has granted.

	@param received The leases.
	*/
	renewColdLeases(received: ReceivedRateLeases): void {
		this.#coldLimiter.renew(received);
	}

	/**
	Checks whether the rate limit of a server, its own or that of a cold one, leaves no send now.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns Whether it leaves none.
	*/
	isRateLimited(server: TrackedServer, now: number): boolean {
		return this.#isColdLimited(server, now) || !this.rates.allows(server.record, now);
	}

	/**
	Returns how long it takes until the rate limit, the pause and the places of a server allow a request.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns Milliseconds; 0 if they allow one now.
	*/
	waitFor(server: TrackedServer, now: number): number {
		const {record} = server;
		return Math.max(this.rates.waitFor(record, now), this.pauses.waitFor(record.id, now), this.isFull(server) ? placeWaitMilliseconds : 0);
	}

	/**
	Checks whether this instance uses all places of a brittle server that it may use.

	@param server The server.
	@returns Whether it does; false if the server is not brittle.
	*/
	isFull({record, inFlight}: TrackedServer): boolean {
		return this.brittle.rejectionsOf(record) !== undefined && inFlight >= this.#placesOf(record);
	}

	/**
	Counts a send.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	*/
	countSend({record}: TrackedServer, now: number): void {
		this.#coldLimiter.countSend(record.id, now);
		this.rates.countSend(record, now);
		this.pauses.countSend(record.id, now);
	}

	/**
	Removes what is known of a server whose process has ended.

	@param server The server.
	*/
	removeServer(server: ServerId): void {
		this.#coldLimiter.removeServer(server);
		this.rates.removeServer(server);
		this.pauses.removeServer(server);
		this.brittle.removeServer(server);
	}

	#isColdLimited({record: {id, service}, cold}: TrackedServer, now: number): boolean {
		return cold.remaining(now) > 0 && this.#coldDurationOf?.(service) !== undefined && !this.#coldLimiter.allows(id, now);
	}
}
