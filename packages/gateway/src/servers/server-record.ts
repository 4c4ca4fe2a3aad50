import {
	type ServerId, type ServiceId, type VersionId, type ZoneId,
} from '@valehitch/core';

/** What a backend server says of itself; a server that said that it shuts down never takes work again. */
export type ServerState = 'ready' | 'draining' | 'gone';

/** One backend server as it announced itself. */
export type ServerRecord = {
	readonly id: ServerId;
	readonly service: ServiceId;
	readonly host: string;
	readonly port: number;
	readonly zone: ZoneId;
	readonly version: VersionId;
	/** Requests it works on at the same time. */
	readonly slots: number;
	readonly state: ServerState;
	/** When its process started, in milliseconds since the epoch on its own clock; missing where it does not say. */
	readonly startedAt?: number | undefined;
	/** Grows with each announcement of one process, so that a late one can be told. */
	readonly sequence: number;
	/** Whether it has announced itself to no control instance for long. */
	readonly isSilent: boolean;
};
