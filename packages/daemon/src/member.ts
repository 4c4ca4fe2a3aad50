import {type InstanceId, type ZoneId} from '@valehitch/core';

/** A daemon as the others know it. */
export type Member = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	/** Where its peers' port is. */
	readonly host: string;
	readonly port: number;
};
