import {
	type Announcement, type Clock, type ModelId, type ServerId, type ServiceId, type VersionId, type ZoneId,
} from '@valehitch/core';

/** A backend server as this instance knows it. */
export type KnownServer = {
	readonly announcement: Announcement;
	/** When the last announcement came, on the monotonic clock. */
	readonly seenAt: number;
	/** Requests of this instance that are in progress there. */
	inFlight: number;
};

/** What the table needs. */
export type ServerTableOptions = {
	readonly clock: Clock;
	readonly zone: ZoneId;
	/** Milliseconds without an announcement after which a server is taken out. */
	readonly expiryMilliseconds: number;
};

/**
The backend servers that announced themselves.

@example
```ts
table.take(announcement);
const server = table.chooseEngine(model, version, new Set());
```
*/
export class ServerTable {
	readonly #options: ServerTableOptions;
	readonly #servers = new Map<ServerId, KnownServer>();

	constructor(options: ServerTableOptions) {
		this.#options = options;
	}

	/**
	Takes an announcement, unless a later one is known.

	@param announcement The announcement.
	@returns Whether it was news.
	*/
	take(announcement: Announcement): boolean {
		const known = this.#servers.get(announcement.server);
		if (known !== undefined && !isLater(announcement, known.announcement)) {
			return false;
		}

		this.#servers.set(announcement.server, {
			announcement,
			seenAt: this.#options.clock.monotonic(),
			inFlight: known?.inFlight ?? 0,
		});
		return true;
	}

	/** The servers whose announcements have not expired. */
	current(): KnownServer[] {
		const oldest = this.#options.clock.monotonic() - this.#options.expiryMilliseconds;
		for (const [id, {seenAt}] of this.#servers) {
			if (seenAt < oldest) {
				this.#servers.delete(id);
			}
		}

		return [...this.#servers.values()];
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
		return this.#least(this.current().filter(({announcement}) => announcement.service === service && !announcement.shuttingDown), excluded);
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

	#weight({announcement, inFlight}: KnownServer): number {
		const foreignZone = announcement.zone === this.#options.zone ? 0 : 1;
		return (inFlight / announcement.capacity) + foreignZone;
	}
}

function serves({announcement}: KnownServer, model: ModelId, version: VersionId): boolean {
	return !announcement.shuttingDown && announcement.models.some(loaded => loaded.model === model && loaded.version === version);
}

function isLater(next: Announcement, known: Announcement): boolean {
	return next.startedAt > known.startedAt || (next.startedAt === known.startedAt && next.sequence > known.sequence);
}
