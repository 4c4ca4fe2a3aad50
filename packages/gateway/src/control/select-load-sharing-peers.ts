import {type InstanceId, type ZoneId} from '@valehitch/core';

/** An entry instance that polled recently. */
export type ActiveEntry = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
};

/** The number of peers to which an entry instance reports its load; a small deployment has fewer, and all of them are peers. */
export const maximumLoadSharingPeers = 6;

/**
Selects the entry instances with which an instance shares its load: its successors when the instances are ordered by name in a ring, those in its own availability zone first.

@param self The instance to select peers for.
@param entries All entry instances that polled recently.
@returns At most six other instances.
@example
```ts
selectLoadSharingPeers({instance, zone}, entries);
```
*/
export function selectLoadSharingPeers(self: ActiveEntry, entries: readonly ActiveEntry[]): readonly InstanceId[] {
	const sameZone = successorsInRing(self, entries.filter(({zone}) => zone === self.zone));
	const otherZones = successorsInRing(self, entries.filter(({zone}) => zone !== self.zone));
	return [...sameZone, ...otherZones].slice(0, maximumLoadSharingPeers);
}

function successorsInRing({instance: self}: ActiveEntry, entries: readonly ActiveEntry[]): readonly InstanceId[] {
	const names = entries.map(({instance}) => instance).filter(instance => instance !== self).toSorted((one, other) => one < other ? -1 : 1);
	const successors = names.filter(name => name > self);
	return [...successors, ...names.filter(name => name < self)];
}
