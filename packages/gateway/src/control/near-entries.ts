import {type InstanceId, type ZoneId} from '@valehitch/core';

/** An entry instance that asked lately. */
export type KnownEntry = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
};

/** As many entry instances share their loads with one; all others of a small deployment. */
const nearEntries = 6;

/**
The entry instances with which one shares its loads: those that follow it in the order of names, its own availability zone first.

@param self The instance that asks.
@param entries All that asked lately.
@returns At most six others.
@example
```ts
nearEntriesOf({instance, zone}, entries);
```
*/
export function nearEntriesOf(self: KnownEntry, entries: readonly KnownEntry[]): readonly InstanceId[] {
	const own = ringAfter(self, entries.filter(({zone}) => zone === self.zone));
	const others = ringAfter(self, entries.filter(({zone}) => zone !== self.zone));
	return [...own, ...others].slice(0, nearEntries);
}

function ringAfter({instance: self}: KnownEntry, entries: readonly KnownEntry[]): readonly InstanceId[] {
	const names = entries.map(({instance}) => instance).filter(instance => instance !== self).toSorted((one, other) => one < other ? -1 : 1);
	const after = names.filter(name => name > self);
	return [...after, ...names.filter(name => name < self)];
}
