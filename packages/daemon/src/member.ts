import {type InstanceId, type ZoneId} from '@valehitch/core';

/** The identity and address of a daemon, as other daemons see them. */
export type Member = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	/** The host of the port for peer connections. */
	readonly host: string;
	readonly port: number;
};
