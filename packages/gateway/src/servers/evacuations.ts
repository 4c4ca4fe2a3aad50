import {type ZoneId} from '@valehitch/core';

/** The last order about an availability zone. */
export type ZoneEvacuation = {
	readonly zone: ZoneId;
	/** Whether the servers of the zone get no requests. */
	readonly isEvacuated: boolean;
	/** The revision of the evacuations at which the order was committed. */
	readonly revision: number;
};

/** The evacuations of availability zones, as the replicated state holds them. */
export type Evacuations = {
	/** Increases with each committed change; 0 before the first one. */
	readonly revision: number;
	readonly zones: readonly ZoneEvacuation[];
};

/** The evacuations before the first order. */
export const noEvacuations: Evacuations = {revision: 0, zones: []};

/**
Returns the zones whose servers get no requests.

@param evacuations The evacuations.
@returns The zones.
@example
```ts
evacuatedZones({revision: 1, zones: [{zone, isEvacuated: true, revision: 1}]}); // Set {zone}
```
*/
export function evacuatedZones({zones}: Evacuations): ReadonlySet<ZoneId> {
	return new Set(zones.filter(({isEvacuated}) => isEvacuated).map(({zone}) => zone));
}
