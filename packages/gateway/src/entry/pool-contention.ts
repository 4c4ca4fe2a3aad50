import {type ServiceId} from '@valehitch/core';
import {type PoolPicture, predictPoolWait} from '@valehitch/routing';
import {type RouteTable} from '../configuration/route-table.js';
import {type ServerAvailability} from './server-availability.js';

/** The wait at the servers of a service, and what it is measured by. */
export type PoolContention = {
	/** The predicted wait, in milliseconds; 0 without a picture of the pool. */
	readonly wait: number;
	/** The shortest target latency of the routes that use models of the service, in milliseconds. */
	readonly target: number;
};

/** Options of {@linkcode poolContention}. */
export type PoolContentionOptions = {
	/** The load of the servers over all entry instances; of infinite age if it is not known. */
	readonly picture: PoolPicture;
	/** The current configuration; undefined until the first one is received. */
	readonly table: Pick<RouteTable, 'findModelTarget'> | undefined;
	readonly availability: Pick<ServerAvailability, 'availableOf'>;
};

/**
Returns how contended the servers of a service are.

@param service The service.
@param options The load, the configuration and the servers.
@returns The contention; no wait while the load is not known.
@example
```ts
poolContention(service, {picture, table, availability}).wait;
```
*/
export function poolContention(service: ServiceId, {picture, table, availability}: PoolContentionOptions): PoolContention {
	const target = table?.findModelTarget(service) ?? Number.POSITIVE_INFINITY;
	if (!Number.isFinite(picture.age)) {
		return {wait: 0, target};
	}

	return {wait: predictPoolWait(picture, availability.availableOf(service)), target};
}
