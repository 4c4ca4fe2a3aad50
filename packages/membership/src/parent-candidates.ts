import {type InstanceId, type ZoneId} from '@valehitch/core';
import {type MemberRecord} from './member-record.js';
import {ancestorsInTree, defaultFanOut, hashString} from './zone-tree.js';

/** An instance with the control role, as listed in the settings. */
export type ControlSeed = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
};

/** The inputs of `parentCandidates`. */
export type ParentCandidatesOptions = {
	readonly self: MemberRecord;
	readonly members: readonly MemberRecord[];
	/** The control instances listed in the settings. */
	readonly seeds: readonly ControlSeed[];
	/** The leader, if known. */
	readonly leader?: InstanceId | undefined;
	/** The maximum number of children of one instance in a zone. Defaults to 4. */
	readonly fanOut?: number;
};

/**
Returns the instances from which an instance may request leases, in order of preference.

Within a zone, these are the ancestors of the instance in the zone's relay tree. They are followed by the leader, the other control
instances and the roots of other zones, which serve the root and any instance whose ancestors all fail. Control instances are ordered
with those of the instance's zone first and then those of its region, and other roots with those of its region first. The leader itself is not part of its zone's tree.

@param options The instance's own record and the known state of the others.
@returns The instances, without duplicates and without the instance itself.
@example
```ts
const [parent] = parentCandidates({self, members, seeds, leader});
```
*/
export function parentCandidates({self, members, seeds, leader, fanOut = defaultFanOut}: ParentCandidatesOptions): InstanceId[] {
	const usable = members.filter(({state}) => state === 'joined');
	// The leader already serves the roots of all zones.
	const zoneInstances = usable.filter(({zone, instance}) => zone === self.zone && instance !== leader).map(({instance}) => instance);
	const ancestors = ancestorsInTree({instances: zoneInstances, self: self.instance, fanOut});
	const fallbacks = [
		...(leader === undefined ? [] : [leader]),
		...orderSeeds(seeds, {self, members}),
		...otherZoneRoots(usable, self),
	];
	const candidates = new Set([...ancestors, ...fallbacks]);
	candidates.delete(self.instance);
	return [...candidates];
}

type MemberView = {readonly self: MemberRecord; readonly members: readonly MemberRecord[]};

function orderSeeds(seeds: readonly ControlSeed[], {self, members}: MemberView): InstanceId[] {
	const regions = new Map(members.map(({zone, region}) => [zone, region]));
	const distance = ({zone}: ControlSeed): number => {
		if (zone === self.zone) {
			return 0;
		}

		return regions.get(zone) === self.region ? 1 : 2;
	};

	// Control instances at equal distance are ordered differently on each instance, so that not all request from the same one at startup.
	const preference = ({instance}: ControlSeed): number => hashString(`${self.instance}/${instance}`);
	return seeds
		.toSorted((left, right) => distance(left) - distance(right) || preference(left) - preference(right))
		.map(({instance}) => instance);
}

function otherZoneRoots(usable: readonly MemberRecord[], self: MemberRecord): InstanceId[] {
	const roots = new Map<ZoneId, MemberRecord>();
	for (const member of usable) {
		const known = roots.get(member.zone);
		if (member.zone !== self.zone && (known === undefined || hashString(member.instance) < hashString(known.instance))) {
			roots.set(member.zone, member);
		}
	}

	return [...roots.values()]
		.toSorted((left, right) => Number(right.region === self.region) - Number(left.region === self.region))
		.map(({instance}) => instance);
}
