import {
	type Clock, type ServerId, versionKey,
} from '@valehitch/core';
import {type KnownServer, type ServerTable} from '@valehitch/membership';
import {type OutlierEjection, type ServerView} from '@valehitch/routing';
import {type ServerActivity} from './server-activity.js';

/** Options of {@linkcode ServerViews}. */
export type ServerViewsOptions = {
	readonly servers: ServerTable;
	readonly ejection: OutlierEjection;
	readonly activity: ServerActivity;
	readonly clock: Clock;
};

type Report = {
	readonly seenAt: number;
	/** The number of requests from this instance that were in flight on the server when the report arrived. */
	readonly ownAtReport: number;
	readonly loaded: ReadonlySet<string>;
};

type ViewOptions = {
	readonly now: number;
	readonly wallTime: number;
	readonly avoidsSilent: boolean;
};

/**
Converts the known backend servers into the views used for server selection.

@example
```ts
chooseServer(views.current(), options);
```
*/
export class ServerViews {
	readonly #options: ServerViewsOptions;
	readonly #reports = new Map<ServerId, Report>();

	constructor(options: ServerViewsOptions) {
		this.#options = options;
	}

	/**
	Returns the views of all current servers.

	@param options Whether silent servers count as ejected; true by default.
	@returns The views.
	*/
	current({avoidsSilent = true}: {readonly avoidsSilent?: boolean} = {}): readonly ServerView[] {
		const {servers, clock} = this.#options;
		const now = clock.monotonic();
		const wallTime = clock.now().getTime();
		const current = servers.available();
		this.#removeStale(current);
		return current.map(known => this.#view(known, {now, wallTime, avoidsSilent}));
	}

	#view(known: KnownServer, {now, wallTime, avoidsSilent}: ViewOptions): ServerView {
		const {ejection, activity} = this.#options;
		const {announcement, load, seenAt, inFlight, state} = known;
		const {server, zone, capacity, startedAt} = announcement;
		const report = this.#report(known);
		return {
			id: server,
			zone,
			capacity,
			reportedInFlight: load * capacity,
			ownInFlightAtReport: report.ownAtReport,
			reportAge: now - seenAt,
			ownInFlight: inFlight,
			draining: state !== 'joined',
			expired: false,
			ejected: ejection.isEjected(server, now) || (avoidsSilent && activity.isSilent(server, now)),
			uptime: Math.max(0, wallTime - startedAt),
			loaded: report.loaded,
		};
	}

	#report({announcement, seenAt, inFlight}: KnownServer): Report {
		const known = this.#reports.get(announcement.server);
		if (known?.seenAt === seenAt) {
			return known;
		}

		const loaded = new Set(announcement.models.map(({model, version}) => versionKey(model, version)));
		if (announcement.service !== undefined) {
			loaded.add(announcement.service);
		}

		const report = {seenAt, ownAtReport: inFlight, loaded};
		this.#reports.set(announcement.server, report);
		return report;
	}

	#removeStale(current: readonly KnownServer[]): void {
		if (this.#reports.size <= current.length) {
			return;
		}

		const currentIds = new Set(current.map(({announcement}) => announcement.server));
		for (const server of this.#reports.keys()) {
			if (!currentIds.has(server)) {
				this.#reports.delete(server);
				this.#options.ejection.forget(server);
				this.#options.activity.forget(server);
			}
		}
	}
}
