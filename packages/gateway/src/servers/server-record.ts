import {
	type ServerId, type ServiceId, type VersionId, type ZoneId,
} from '@valehitch/core';

/** The state that a backend server announces; a server that has announced its shutdown never accepts requests again. */
export type ServerState = 'ready' | 'draining' | 'gone';

/** A backend server as it announced itself. */
export type ServerRecord = {
	readonly id: ServerId;
	readonly service: ServiceId;
	readonly host: string;
	readonly port: number;
	readonly zone: ZoneId;
	readonly version: VersionId;
	/** The number of requests that it processes concurrently. */
	readonly slots: number;
	readonly state: ServerState;
	/** When its process started, in milliseconds since the epoch on its own clock; absent if the server does not report it. */
	readonly startedAt?: number | undefined;
	/** Increases with each announcement of a process, so that delayed announcements can be detected. */
	readonly sequence: number;
	/** How much longer it is cold, in milliseconds, as of the moment at which the record was sent; absent if it is not cold. A cold server tolerates few requests per second. */
	readonly coldRemaining?: number | undefined;
	/** Whether it has not announced itself to any control instance for the silence timeout. */
	readonly isSilent: boolean;
};
