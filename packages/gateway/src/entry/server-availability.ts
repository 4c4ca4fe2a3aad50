import {type ServerId, type ServiceId} from '@valehitch/core';
import {type ServerRecord} from '../servers/server-record.js';
import {type KnownEvacuations} from './known-evacuations.js';
import {type SendLimits} from './send-limits.js';
import {type TrackedServer} from './tracked-server.js';

/** Options of {@linkcode ServerAvailability}. */
export type ServerAvailabilityOptions = {
	readonly servers: ReadonlyMap<ServerId, TrackedServer>;
	readonly evacuations: Pick<KnownEvacuations, 'zones' | 'includesAll'>;
	readonly limits: SendLimits;
};

/**
Which of the known servers may get requests, and when those of a service may get the next one.

@example
```ts
const availability = new ServerAvailability({servers, evacuations, limits});
availability.waitFor(service, now);
```
*/
export class ServerAvailability {
	readonly #options: ServerAvailabilityOptions;

	constructor(options: ServerAvailabilityOptions) {
		this.#options = options;
	}

	/** The servers that may get requests. */
	get available(): readonly ServerRecord[] {
		const servers: ServerRecord[] = [];
		for (const {record} of this.#options.servers.values()) {
			if (this.#mayGetRequests(record)) {
				servers.push(record);
			}
		}

		return servers;
	}

	/**
	Checks whether a server may still get requests.

	@param server The server.
	@returns Whether it may; false if it is not known.
	*/
	includes(server: ServerId): boolean {
		const tracked = this.#options.servers.get(server);
		return tracked !== undefined && this.#mayGetRequests(tracked.record);
	}

	/**
	Lists the servers of a service that may get requests.

	@param service The service.
	@returns The ids of the servers.
	*/
	availableOf(service: ServiceId): readonly ServerId[] {
		return this.#availableFor(service).map(({record}) => record.id);
	}

	/**
	Returns the server at an address.

	@param address The address.
	@returns The server; undefined if no known one that has not ended is there.
	*/
	serverAt({host, port}: Pick<ServerRecord, 'host' | 'port'>): ServerRecord | undefined {
		for (const {record} of this.#options.servers.values()) {
			if (record.host === host && record.port === port && record.state !== 'gone') {
				return record;
			}
		}

		return undefined;
	}

	/**
	Checks whether no server of a service may get requests because all of them are in evacuated zones.

	@param service The service.
	@returns Whether that is so; false if no server is known.
	*/
	isEvacuated(service: ServiceId): boolean {
		const servers = [...this.#options.servers.values()].map(({record}) => record);
		return this.#options.evacuations.includesAll(servers.filter(record => record.service === service && record.state === 'ready'));
	}

	/**
	Checks whether all servers of a service that may get requests name rate limits, so that sends are scarce.

	@param service The service.
	@param now Milliseconds on the monotonic clock.
	@returns Whether that is so; false if no server is known.
	*/
	areAllRateLimited(service: ServiceId, now: number): boolean {
		if (this.#options.limits.rates.countAt(now) === 0) {
			return false;
		}

		const servers = this.#availableFor(service);
		return servers.length > 0 && servers.every(({record}) => this.#options.limits.rates.isLimited(record, now));
	}

	/**
	Lists the servers of a service that would get requests if their rate limits left this instance a send.

	@param service The service.
	@param now Milliseconds on the monotonic clock.
	@returns The servers.
	*/
	exhausted(service: ServiceId, now: number): readonly ServerId[] {
		const {limits} = this.#options;
		const exhausted = this.#availableFor(service).filter(({record}) => !limits.rates.allows(record, now) && limits.pauses.allows(record.id, now));
		return exhausted.map(({record}) => record.id);
	}

	/**
	Returns how long it takes until the rate limits and pauses of a service's servers allow a request.

	@param service The service.
	@param now Milliseconds on the monotonic clock.
	@returns Milliseconds; 0 if they allow one now or no server is known.
	*/
	waitFor(service: ServiceId, now: number): number {
		const waits = this.#availableFor(service).map(tracked => this.#options.limits.waitFor(tracked, now));
		return waits.length === 0 ? 0 : Math.min(...waits);
	}

	/**
	Counts the servers of a service that are ready.

	@param service The service.
	@returns Their number.
	*/
	countReady(service: ServiceId): number {
		let count = 0;
		for (const {record} of this.#options.servers.values()) {
			count += record.service === service && record.state === 'ready' ? 1 : 0;
		}

		return count;
	}

	/** The servers of a service that are ready and not in an evacuated zone. */
	#availableFor(service: ServiceId): readonly TrackedServer[] {
		return [...this.#options.servers.values()].filter(({record}) => record.service === service && this.#mayGetRequests(record));
	}

	#mayGetRequests({state, zone}: ServerRecord): boolean {
		return state === 'ready' && !this.#options.evacuations.zones.has(zone);
	}
}
