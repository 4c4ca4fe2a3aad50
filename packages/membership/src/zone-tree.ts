import {type InstanceId} from '@valehitch/core';

/** The inputs of `ancestorsInTree`. */
export type ZoneTreeOptions = {
	/** The instances of the zone that are not lost, in any order. The instance itself may be missing. */
	readonly instances: readonly InstanceId[];
	readonly self: InstanceId;
	/** The maximum number of children of one instance. Defaults to 4. */
	readonly fanOut?: number;
};

/** The default of `fanOut`. */
export const defaultFanOut = 4;

/**
Returns the ancestors of an instance in the relay tree of its zone, from the parent to the root.

Instances are ordered by a hash of their names, and the parent of the one at index i is the one at index floor((i - 1) / fan-out). Each
instance computes the tree from its own view. Different views give different trees, which is harmless, because all data sent over a
link carries its version.

@param options The instances and the fan-out.
@returns The ancestors. Empty for the root.
@example
```ts
const [parent] = ancestorsInTree({instances, self});
```
*/
export function ancestorsInTree({instances, self, fanOut = defaultFanOut}: ZoneTreeOptions): InstanceId[] {
	const ordered = [...new Set([...instances, self])]
		.map(instance => ({instance, hash: hashString(instance)}))
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

const hashSeed = 0x81_1C_9D_C5;
/** 2^32 divided by the golden ratio, odd. */
const hashMultiplier = 0x9E_37_79_B1;

/** The number of hashes: 2^32. */
export const hashRange = 0x01_00_00_00_00;

/**
Returns a 32-bit hash of a string, by multiplicative hashing (Knuth, 1973), which spreads names that differ only at the end.

@param text The string.
@returns An integer from 0 to 4294967295.
@example
```ts
hashString('entry-a');
```
*/
export function hashString(text: string): number {
	let hash = hashSeed;
	for (const character of text) {
		hash = Math.imul(hash + (character.codePointAt(0) ?? 0), hashMultiplier);
	}

	return (hash + hashRange) % hashRange;
}
