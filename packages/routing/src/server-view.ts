import {type ServerId, type ZoneId} from '@valehitch/core';

/** A backend server as the choice sees it. */
export type ServerView = {
	readonly id: ServerId;
	readonly zone: ZoneId;
	/** Requests it works on at the same time. */
	readonly capacity: number;
	/** Requests it worked on by its last report, from all instances. */
	readonly reportedActive: number;
	/** Requests of this instance among those, in progress there when the report was made. */
	readonly ownAtReport: number;
	/** Milliseconds since the report was made. */
	readonly reportAge: number;
	/** Requests of this instance that are in progress there now. */
	readonly ownInFlight: number;
	/** Whether it is in graceful shutdown. */
	readonly draining: boolean;
	/** Whether it has not announced itself for too long. */
	readonly expired: boolean;
	/** Whether it is ejected for its failures. */
	readonly ejected: boolean;
	/** Milliseconds since it started. */
	readonly uptime: number;
	/** The versions it has loaded, as `versionKey` names them, or the service that it is. */
	readonly loaded: ReadonlySet<string>;
};
