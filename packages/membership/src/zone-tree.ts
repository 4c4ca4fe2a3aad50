import {type InstanceId} from '@valehitch/core';

/** What `ancestorsInTree` works on. */
export type ZoneTreeOptions = {
	/** The zone's instances that are not lost, in any order; the own one may be missing. */
	readonly instances: readonly InstanceId[];
	readonly self: InstanceId;
	/** The most children of one instance; 4 by default. */
	readonly fanOut?: number;
};

/** The most children of one instance where the options name none. */
export const defaultFanOut = 4;

/**
Places an instance in the relay tree of its zone and gives its ancestors, the parent first and the root last.

The instances are ordered by a hash of their names; the one at index i has the one at (i - 1) / fan-out as its parent. Each
instance computes this from its own view; two views that differ give trees that differ, which is harmless since all that goes
over a link carries its version.

@param options The instances and the fan-out.
@returns The ancestors; none for the root.
@example
```ts
const [parent] = ancestorsInTree({instances, self});
```
*/
export function ancestorsInTree({instances, self, fanOut = defaultFanOut}: ZoneTreeOptions): InstanceId[] {
	const ordered = [...new Set([...instances, self])]
		.map(instance => ({instance, hash: hashText(instance)}))
		.toSorted((left, right) => left.hash - right.hash || (left.instance < right.instance ? -1 : 1));
	const ancestors: InstanceId[] = [];
	let index = ordered.findIndex(({instance}) => instance === self);
	while (index > 0) {
		index = Math.floor((index - 1) / fanOut);
		const ancestor = ordered[index];
		if (ancestor !== undefined) {
			ancestors.push(ancestor.instance);
		}
	}

	return ancestors;
}

const hashStart = 0x81_1C_9D_C5;
/** 2^32 divided by the golden ratio, odd. */
const hashMultiplier = 0x9E_37_79_B1;

/** The number of hashes: 2^32. */
export const hashRange = 0x01_00_00_00_00;

/**
A 32-bit hash of a text, by multiplicative hashing (Knuth, 1973), so that names that differ at the end spread.

@param text The text.
@returns A whole number from 0 to 4294967295.
@example
```ts
hashText('entry-a');
```
*/
export function hashText(text: string): number {
	let hash = hashStart;
	for (const character of text) {
		hash = Math.imul(hash + (character.codePointAt(0) ?? 0), hashMultiplier);
	}

	return (hash + hashRange) % hashRange;
}
