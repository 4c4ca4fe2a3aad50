import {
	type Announcement, type Clock, type InstanceId, type ModelId, type ServerId, type ServiceId, toId, type VersionId, type ZoneId,
} from '@valehitch/core';
import {
	joinServers, type ServerRecord, serverState, type ServerState,
} from './server-record.js';
import {loadSteps, toLoadStep} from './load-record.js';

/** A backend server known to this instance. The object remains the same for as long as the server is known. */
export type KnownServer = {
	announcement: Announcement;
	/** Whether the server accepts work, is shutting down, or is considered lost. */
	state: ServerState;
	/** The daemon to which the server renews its announcement. */
	holder: InstanceId;
	/** The fraction of the capacity in use, from 0 to 1, as last reported. */
	load: number;
	/** When the last announcement or record was received, on the monotonic clock. */
	seenAt: number;
	/** The number of requests of this instance that are in progress on the server. */
	inFlight: number;
};

/** Options of `ServerTable`. */
export type ServerTableOptions = {
	readonly clock: Clock;
	readonly zone: ZoneId;
	/** Milliseconds without an announcement after which a server is considered lost. */
	readonly expiryMilliseconds: number;
	/** This instance, which is the holder of servers announced to it. Defaults to `local`. */
	readonly instance?: InstanceId;
	/** Checks whether the holder of a server is lost. By default no holder is lost. */
	readonly isLost?: (holder: InstanceId) => boolean;
};

/**
The backend servers that have announced themselves to this or another instance.

@example
```ts
table.announce(announcement);
const server = table.chooseEngine(model, version, new Set());
```
*/
export class ServerTable {
	readonly #options: ServerTableOptions;
	readonly #instance: InstanceId;
	readonly #servers = new Map<ServerId, KnownServer>();

	constructor(options: ServerTableOptions) {
		this.#options = options;
		this.#instance = options.instance ?? toId<InstanceId>('local');
	}

	/**
	Adds an announcement made to this instance, unless a later one is known.

	@param announcement The announcement.
	@returns Whether the table changed.
	*/
	announce(announcement: Announcement): boolean {
		const known = this.#servers.get(announcement.server);
		if (known !== undefined && !isLater(announcement, known.announcement)) {
			return false;
		}

		return this.merge({announcement, holder: this.#instance, lost: false});
	}

	/**
	Merges a record received through a digest.

	@param record The record.
	@returns Whether the table changed.
	*/
	merge(record: ServerRecord): boolean {
		const {announcement: {server}} = record;
		const known = this.#servers.get(server);
		const previous = known === undefined ? undefined : toRecord(known);
		const joined = previous === undefined ? record : joinServers(previous, record);
		if (joined === previous) {
			return false;
		}

		const {announcement, holder} = joined;
		const update = {
			announcement, holder, state: serverState(joined), seenAt: this.#options.clock.monotonic(),
		};
		if (known === undefined) {
			this.#servers.set(server, {...update, load: toLoadStep(announcement) / loadSteps, inFlight: 0});
		} else {
			// Updated in place, so that requests in progress decrement the counter of the same object.
			Object.assign(known, update);
		}

		return true;
	}

	/**
	Returns the record of a server, for the digests.

	@param server The server.
	@returns The record, or undefined if the server is not known.
	*/
	getRecord(server: ServerId): ServerRecord | undefined {
		const known = this.#servers.get(server);
		return known === undefined ? undefined : toRecord(known);
	}

	/**
	Sets the load of a server.

	@param server The server.
	@param step The load step, from 0 to 8.
	*/
	setLoad(server: ServerId, step: number): void {
		const known = this.#servers.get(server);
		if (known !== undefined) {
			known.load = step / loadSteps;
		}
	}

	/**
	Marks servers of which this instance is the holder as lost if their renewals have stopped.

	@returns The servers that were marked by this call.
	*/
	expire(): KnownServer[] {
		const expired: KnownServer[] = [];
		for (const known of this.#servers.values()) {
			if (known.state !== 'lost' && known.holder === this.#instance && this.#isSilent(known)) {
				known.state = 'lost';
				expired.push(known);
			}
		}

		return expired;
	}

	/**
	Removes a server permanently.

	@param server The server.
	*/
	delete(server: ServerId): void {
		this.#servers.delete(server);
	}

	/** Returns the servers that are not lost, including those shutting down. A server whose renewals stopped is omitted until it is announced again if this instance is its holder or its holder is lost. */
	available(): KnownServer[] {
		return [...this.#servers.values()].filter(known => known.state !== 'lost' && !this.#isOrphaned(known));
	}

	/** Checks whether any engine that accepts work has the version loaded. */
	isServed(model: ModelId, version: VersionId): boolean {
		return this.available().some(server => serves(server, model, version));
	}

	/**
	Chooses the engine with the least work relative to its capacity, preferring engines in this instance's zone.

	@param target The version.
	@param excluded The servers that were already tried.
	@returns The engine, or undefined if there is none.
	*/
	chooseEngine(target: {readonly model: ModelId; readonly version: VersionId}, excluded: ReadonlySet<ServerId>): KnownServer | undefined {
		return this.#leastLoaded(this.available().filter(server => serves(server, target.model, target.version)), excluded);
	}

	/**
	Chooses an instance of a plain service.

	@param service The service.
	@param excluded The servers that were already tried.
	@returns The instance, or undefined if there is none.
	*/
	chooseService(service: ServiceId, excluded: ReadonlySet<ServerId>): KnownServer | undefined {
		return this.#leastLoaded(this.available().filter(({announcement, state}) => announcement.service === service && state === 'joined'), excluded);
	}

	#leastLoaded(servers: readonly KnownServer[], excluded: ReadonlySet<ServerId>): KnownServer | undefined {
		let best: KnownServer | undefined;
		for (const server of servers) {
			if (!excluded.has(server.announcement.server) && (best === undefined || this.#loadScore(server) < this.#loadScore(best))) {
				best = server;
			}
		}

		return best;
	}

	#isSilent({seenAt}: KnownServer): boolean {
		return seenAt < this.#options.clock.monotonic() - this.#options.expiryMilliseconds;
	}

	#isOrphaned(known: KnownServer): boolean {
		const {isLost = () => false} = this.#options;
		return this.#isSilent(known) && (known.holder === this.#instance || isLost(known.holder));
	}

	#loadScore({announcement, inFlight}: KnownServer): number {
		const zonePenalty = announcement.zone === this.#options.zone ? 0 : 1;
		return (inFlight / announcement.capacity) + zonePenalty;
	}
}

function toRecord({announcement, holder, state}: KnownServer): ServerRecord {
	return {announcement, holder, lost: state === 'lost'};
}

function serves({announcement, state}: KnownServer, model: ModelId, version: VersionId): boolean {
	return state === 'joined' && announcement.models.some(loaded => loaded.model === model && loaded.version === version);
}

function isLater(next: Announcement, known: Announcement): boolean {
	return next.startedAt > known.startedAt || (next.startedAt === known.startedAt && next.sequence > known.sequence);
}
