import {
	type Announcement, type Clock, type InstanceId, type ModelId, type ServerId, type ServiceId, toId, type VersionId, type ZoneId,
} from '@valehitch/core';
import {
	joinServers, type ServerRecord, serverState, type ServerState,
} from './server-record.js';
import {loadSteps, toLoadStep} from './load-record.js';

/** A backend server as this instance knows it; one object for as long as the server is known. */
export type KnownServer = {
	announcement: Announcement;
	/** Whether it takes work, shuts down, or is given up. */
	state: ServerState;
	/** The daemon that the server renews its announcement with. */
	holder: InstanceId;
	/** The share of its capacity in use, from 0 to 1, as it was reported last. */
	load: number;
	/** When the last announcement or record came, on the monotonic clock. */
	seenAt: number;
	/** Requests of this instance that are in progress there. */
	inFlight: number;
};

/** What the table needs. */
export type ServerTableOptions = {
	readonly clock: Clock;
	readonly zone: ZoneId;
	/** Milliseconds without an announcement after which a server is taken out. */
	readonly expiryMilliseconds: number;
	/** This instance, the holder of what is announced here; `local` by default. */
	readonly instance?: InstanceId;
	/** Tells whether the holder of a server is lost; never by default. */
	readonly isLost?: (holder: InstanceId) => boolean;
};

/**
The backend servers that announced themselves, here or elsewhere.

@example
```ts
table.take(announcement);
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
	Takes an announcement made to this instance, unless a later one is known.

	@param announcement The announcement.
	@returns Whether it was news.
	*/
	take(announcement: Announcement): boolean {
		const known = this.#servers.get(announcement.server);
		if (known !== undefined && !isLater(announcement, known.announcement)) {
			return false;
		}

		return this.put({announcement, holder: this.#instance, lost: false});
	}

	/**
	Puts in a record that a digest brought.

	@param record The record.
	@returns Whether it was news.
	*/
	put(record: ServerRecord): boolean {
		const {announcement: {server}} = record;
		const known = this.#servers.get(server);
		const before = known === undefined ? undefined : toRecord(known);
		const joined = before === undefined ? record : joinServers(before, record);
		if (joined === before) {
			return false;
		}

		const {announcement, holder} = joined;
		const seen = {
			announcement, holder, state: serverState(joined), seenAt: this.#options.clock.monotonic(),
		};
		if (known === undefined) {
			this.#servers.set(server, {...seen, load: toLoadStep(announcement) / loadSteps, inFlight: 0});
		} else {
			// In place, so that a request in progress counts down the same object.
			Object.assign(known, seen);
		}

		return true;
	}

	/**
	The record of a server for the digests.

	@param server The server.
	@returns The record, or undefined where the server is not known.
	*/
	record(server: ServerId): ServerRecord | undefined {
		const known = this.#servers.get(server);
		return known === undefined ? undefined : toRecord(known);
	}

	/**
	Notes the load of a server.

	@param server The server.
	@param step The step, from 0 to 8.
	*/
	setLoad(server: ServerId, step: number): void {
		const known = this.#servers.get(server);
		if (known !== undefined) {
			known.load = step / loadSteps;
		}
	}

	/**
	Gives up the servers that are held here and whose renewals stopped.

	@returns The servers that were given up just now.
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
	Forgets a server for good.

	@param server The server.
	*/
	forget(server: ServerId): void {
		this.#servers.delete(server);
	}

	/** The servers that are there, those that shut down included; one whose holder is lost is left out until it is announced elsewhere. */
	current(): KnownServer[] {
		return [...this.#servers.values()].filter(known => known.state !== 'lost' && !this.#isOrphaned(known));
	}

	/** Whether an engine has the version loaded and takes work. */
	isServed(model: ModelId, version: VersionId): boolean {
		return this.current().some(server => serves(server, model, version));
	}

	/**
	Chooses the engine with the least work per capacity, the own zone first.

	@param wanted The version.
	@param excluded Servers that were tried already.
	@returns The engine, or undefined where there is none.
	*/
	chooseEngine(wanted: {readonly model: ModelId; readonly version: VersionId}, excluded: ReadonlySet<ServerId>): KnownServer | undefined {
		return this.#least(this.current().filter(server => serves(server, wanted.model, wanted.version)), excluded);
	}

	/**
	Chooses an instance of a plain service.

	@param service The service.
	@param excluded Servers that were tried already.
	@returns The instance, or undefined where there is none.
	*/
	chooseService(service: ServiceId, excluded: ReadonlySet<ServerId>): KnownServer | undefined {
		return this.#least(this.current().filter(({announcement, state}) => announcement.service === service && state === 'joined'), excluded);
	}

	#least(servers: readonly KnownServer[], excluded: ReadonlySet<ServerId>): KnownServer | undefined {
		let best: KnownServer | undefined;
		for (const server of servers) {
			if (!excluded.has(server.announcement.server) && (best === undefined || this.#weight(server) < this.#weight(best))) {
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

	#weight({announcement, inFlight}: KnownServer): number {
		const foreignZone = announcement.zone === this.#options.zone ? 0 : 1;
		return (inFlight / announcement.capacity) + foreignZone;
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
