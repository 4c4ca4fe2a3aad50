import {type InstanceId, type ZoneId} from '@valehitch/core';
import {type MemberRecord} from './member-record.js';
import {ancestorsInTree, defaultFanOut, hashText} from './zone-tree.js';

/** An instance that the settings name as having the control role. */
export type ControlSeed = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
};

/** What `parentCandidates` works on. */
export type ParentCandidatesOptions = {
	readonly self: MemberRecord;
	readonly members: readonly MemberRecord[];
	/** The control instances of the settings. */
	readonly seeds: readonly ControlSeed[];
	/** The leader, where it is known. */
	readonly leader?: InstanceId | undefined;
	/** The most children of one instance in a zone; 4 by default. */
	readonly fanOut?: number;
};

/**
The instances that one may ask, the best first.

Inside a zone these are the ancestors in its relay tree. The root, and whoever is left by all its ancestors, goes on with the
leader, the other control instances and the other zones' roots, the own zone and the own region first. The leader itself stands
outside its zone's tree.

@param options The own record and what is known of the others.
@returns The instances without the own one; none twice.
@example
```ts
const [parent] = parentCandidates({self, members, seeds, leader});
```
*/
export function parentCandidates({self, members, seeds, leader, fanOut = defaultFanOut}: ParentCandidatesOptions): InstanceId[] {
	const usable = members.filter(({state}) => state === 'joined');
	// The leader has all zones' roots to answer already.
	const own = usable.filter(({zone, instance}) => zone === self.zone && instance !== leader).map(({instance}) => instance);
	const ancestors = ancestorsInTree({instances: own, self: self.instance, fanOut});
	const exits = [
		...(leader === undefined ? [] : [leader]),
		...orderSeeds(seeds, {self, members}),
		...otherRoots(usable, self),
	];
	const candidates = new Set([...ancestors, ...exits]);
	candidates.delete(self.instance);
	return [...candidates];
}

type Surroundings = {readonly self: MemberRecord; readonly members: readonly MemberRecord[]};

function orderSeeds(seeds: readonly ControlSeed[], {self, members}: Surroundings): InstanceId[] {
	const regions = new Map(members.map(({zone, region}) => [zone, region]));
	const distance = ({zone}: ControlSeed): number => {
		if (zone === self.zone) {
			return 0;
		}

		return regions.get(zone) === self.region ? 1 : 2;
	};

	// Each instance has an order of its own among equals, so that not all ask the same one at a start.
	const preference = ({instance}: ControlSeed): number => hashText(`${self.instance}/${instance}`);
	return seeds
		.toSorted((left, right) => distance(left) - distance(right) || preference(left) - preference(right))
		.map(({instance}) => instance);
}

function otherRoots(usable: readonly MemberRecord[], self: MemberRecord): InstanceId[] {
	const roots = new Map<ZoneId, MemberRecord>();
	for (const member of usable) {
		const known = roots.get(member.zone);
		if (member.zone !== self.zone && (known === undefined || hashText(member.instance) < hashText(known.instance))) {
			roots.set(member.zone, member);
		}
	}

	return [...roots.values()]
		.toSorted((left, right) => Number(right.region === self.region) - Number(left.region === self.region))
		.map(({instance}) => instance);
}
