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
@param entries All entry instances that polled recently, as {@linkcode orderByName} returns them.
@returns At most six other instances.
@example
```ts
selectLoadSharingPeers({instance, zone}, orderByName(entries));
```
*/
export function selectLoadSharingPeers(self: ActiveEntry, entries: readonly ActiveEntry[]): readonly InstanceId[] {
	const start = Math.max(0, entries.findIndex(({instance}) => instance > self.instance));
	const sameZone: InstanceId[] = [];
	const otherZones: InstanceId[] = [];
	for (let offset = 0; offset < entries.length && sameZone.length < maximumLoadSharingPeers; offset++) {
		const {instance, zone} = entries[(start + offset) % entries.length]!;
		if (instance !== self.instance) {
			(zone === self.zone ? sameZone : otherZones).push(instance);
		}
	}

	return [...sameZone, ...otherZones].slice(0, maximumLoadSharingPeers);
}

/**
Orders entry instances by name.

@param entries The instances.
@returns The same instances in order.
*/
export function orderByName(entries: readonly ActiveEntry[]): readonly ActiveEntry[] {
	return entries.toSorted((one, other) => one.instance < other.instance ? -1 : 1);
}
