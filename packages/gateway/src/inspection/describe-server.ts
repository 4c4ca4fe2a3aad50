import {
	type ServerId, type ServiceId, type VersionId, type ZoneId,
} from '@valehitch/core';
import {ineligibilityReason, type PoolPicture, type ServerWork} from '@valehitch/routing';
import {type ServerConditions, type TrackedServer} from '../entry/tracked-server.js';
import {type ServerState} from '../servers/server-record.js';

/** What an entry instance believes of a backend server. All times are in milliseconds. */
export type ServerBelief = {
	readonly server: ServerId;
	readonly service: ServiceId;
	readonly zone: ZoneId;
	readonly version: VersionId;
	readonly state: ServerState;
	readonly slots: number;
	/** This instance's own requests in flight. */
	readonly ownRequests: number;
	/** Their load, in units of a short request. */
	readonly ownLoad: number;
	/** The load of the other entry instances as far as they told it, in units of a short request. */
	readonly othersLoad: number;
	/** The work of all entry instances, and how slow the server is; absent if no control instance tells it. */
	readonly work?: ServerWork | undefined;
	/** How old that is; absent if it is not known. */
	readonly workAge?: number | undefined;
	/** How long ago a control instance reported the server. */
	readonly reportedAgo: number;
	/** How long ago data came from the server; absent if none came yet. */
	readonly heardAgo?: number | undefined;
	/** How much longer it is left alone after a failed connection; 0 if it is not. */
	readonly unreachableFor: number;
	/** The conditions that hold, such as `silent`, `paused` or `ejected`. */
	readonly conditions: readonly string[];
	/** Why it would not be chosen now; absent if it could be. */
	readonly notChosen?: string | undefined;
};

/** Options of {@linkcode describeServer}. */
export type DescribeServerOptions = {
	readonly conditions: ServerConditions;
	/** The load of the other entry instances at the server, in units of a short request. */
	readonly othersLoad: number;
	readonly evacuatedZones: ReadonlySet<ZoneId>;
	/** The work of all entry instances; by default, it is not known. */
	readonly picture?: PoolPicture | undefined;
};

/**
Describes what an entry instance believes of a backend server, for its operator.

@param tracked The server.
@param options What else is known of it.
@returns The description.
@example
```ts
describeServer(tracked, {conditions, othersLoad, evacuatedZones}).notChosen; // 'has asked for a pause'
```
*/
export function describeServer(tracked: TrackedServer, {conditions, othersLoad, evacuatedZones, picture}: DescribeServerOptions): ServerBelief {
	const {record, inFlight, load, reportedAt, heardAt} = tracked;
	const {now} = conditions;
	const work = picture?.workAt(record.id);
	return {
		server: record.id,
		service: record.service,
		zone: record.zone,
		version: record.version,
		state: record.state,
		slots: record.slots,
		ownRequests: inFlight,
		ownLoad: load,
		othersLoad,
		work,
		workAge: work === undefined ? undefined : picture?.age,
		reportedAgo: now - reportedAt,
		heardAgo: heardAt === 0 ? undefined : now - heardAt,
		unreachableFor: Math.max(0, tracked.backoffUntil - now),
		conditions: namesOf(tracked, conditions),
		notChosen: reasonAgainst(tracked, {conditions, evacuatedZones}),
	};
}

function namesOf({backoffUntil, silentUntil, cold}: TrackedServer, conditions: ServerConditions): readonly string[] {
	const named: ReadonlyArray<readonly [string, boolean]> = [
		['silent', conditions.isSilent],
		['unreachable', backoffUntil > conditions.now],
		['unresponsive', silentUntil > conditions.now],
		['zone unreachable', conditions.isZoneUnreachable],
		['ejected', conditions.isEjected],
		['limited', conditions.isRateLimited],
		['paused', conditions.isPaused],
		['cold', cold.remaining(conditions.now) > 0],
	];
	return named.filter(([, holds]) => holds).map(([name]) => name);
}

function reasonAgainst(tracked: TrackedServer, {conditions, evacuatedZones}: Pick<DescribeServerOptions, 'conditions' | 'evacuatedZones'>): string | undefined {
	const {record, backoffUntil, silentUntil} = tracked;
	if (record.state !== 'ready') {
		return record.state === 'draining' ? 'is shutting down' : 'has ended';
	}

	if (conditions.isSilent) {
		return 'is called silent by all control instances';
	}

	if (backoffUntil > conditions.now) {
		return 'could not be connected to';
	}

	if (silentUntil > conditions.now) {
		return 'sent and accepted nothing';
	}

	if (conditions.isZoneUnreachable) {
		return 'is in a zone that appears to be cut off';
	}

	return ineligibilityReason(tracked.view(conditions), {target: record.service, excluded: new Set(), evacuatedZones});
}
