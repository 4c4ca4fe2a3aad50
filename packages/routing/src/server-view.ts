import {type ServerId, type ZoneId} from '@valehitch/core';

/** The state of a backend server on which the choice of a server is based. */
export type ServerView = {
	readonly id: ServerId;
	readonly zone: ZoneId;
	/** The number of requests that it processes concurrently. */
	readonly capacity: number;
	/** Its speed relative to a server of mean speed, by which its capacity is multiplied; 1 by default. */
	readonly speed?: number | undefined;
	/** The speed by which the homes of prompt prefixes are spread, which changes rarely; `speed` by default. */
	readonly homeSpeed?: number | undefined;
	/** The requests of all instances that were in progress according to its last report. */
	readonly reportedInFlight: number;
	/** The requests of this instance among the reported ones. */
	readonly ownInFlightAtReport: number;
	/** The age of the report in milliseconds. */
	readonly reportAge: number;
	/** The requests of this instance that are in progress on it now. */
	readonly ownInFlight: number;
	/** Whether it is shutting down gracefully. */
	readonly draining: boolean;
	/** Whether its last announcement has expired. */
	readonly expired: boolean;
	/** Whether it is ejected because of failures. */
	readonly ejected: boolean;
	/** Whether it is cold or names a rate limit, and this instance may not send it another request now; false by default. */
	readonly rateLimited?: boolean;
	/** Whether it has asked this instance for a pause, which goes on; false by default. */
	readonly paused?: boolean;
	/** The time since its start in milliseconds. */
	readonly uptime: number;
	/** The keys of the versions that it has loaded, as formatted by `versionKey`, or the name of the service that it provides. */
	readonly loaded: ReadonlySet<string>;
};
