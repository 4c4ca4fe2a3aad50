import {type InstanceId, type ZoneId} from '@valehitch/core';
import {prefixHash, rendezvousScore} from './rendezvous-score.js';

/** An instance that may open connections to backend servers for others. */
export type RelayMember = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	/** Whether it has said that it reaches no server of some service. */
	readonly isCutOff: boolean;
};

/** Options of {@linkcode RelayRing.select}. */
export type SelectRelaysOptions = {
	/** The maximum number of relays; 12 by default. */
	readonly count?: number;
};

/** An instance at its place in the ring of its zone. */
type Place = {
	readonly instance: InstanceId;
	readonly position: number;
};

type Ring = ReadonlyMap<ZoneId, readonly Place[]>;

const defaultCount = 12;
/** Any prefix serves, as long as all instances are placed by the same. */
const ringPrefix = prefixHash('relays');

/**
The instances through which others reach backend servers once their own links fail. It answers the load of instances that lose their links together, as all those of an availability zone do.

The zones take turns, the own one first, so that no single zone has all relays. Within a zone they are the successors of the instance in a ring of hashes (Karger and others, 1997), so that each instance has others. Instances that are cut off themselves come last.

@example
```ts
new RelayRing(members).select({instance, zone});
```
*/
export class RelayRing {
	readonly #connected: Ring;
	readonly #cutOff: Ring;

	/**
	@param members All instances.
	*/
	constructor(members: readonly RelayMember[]) {
		this.#connected = placeInRing(members.filter(({isCutOff}) => !isCutOff));
		this.#cutOff = placeInRing(members.filter(({isCutOff}) => isCutOff));
	}

	/**
	Selects the relays of an instance.

	@param self The instance.
	@param options The number of relays.
	@returns The relays, the preferred ones first.
	*/
	select(self: Pick<RelayMember, 'instance' | 'zone'>, {count = defaultCount}: SelectRelaysOptions = {}): readonly InstanceId[] {
		const relays = successors(this.#connected, self, count);
		return relays.length === count ? relays : [...relays, ...successors(this.#cutOff, self, count - relays.length)];
	}
}

function positionOf(instance: InstanceId): number {
	return rendezvousScore(ringPrefix, {server: instance, capacity: 1});
}

function placeInRing(members: readonly RelayMember[]): Ring {
	const zones = new Map<ZoneId, Place[]>();
	for (const {instance, zone} of members) {
		const places = zones.get(zone) ?? [];
		places.push({instance, position: positionOf(instance)});
		zones.set(zone, places);
	}

	for (const places of zones.values()) {
		places.sort((one, other) => one.position - other.position);
	}

	return zones;
}

/** Takes turns among the zones, each from the successor of the instance on. */
function successors(ring: Ring, self: Pick<RelayMember, 'instance' | 'zone'>, count: number): readonly InstanceId[] {
	const position = positionOf(self.instance);
	const zones = [...ring].toSorted(([one], [other]) => Number(other === self.zone) - Number(one === self.zone)).map(([, places]) => ({places, start: successorIndex(places, position)}));
	const longest = Math.max(0, ...zones.map(({places}) => places.length));
	const taken: InstanceId[] = [];
	for (let turn = 0; turn < longest; turn++) {
		for (const {places, start} of zones) {
			const place = turn < places.length ? places[(start + turn) % places.length] : undefined;
			if (place !== undefined && place.instance !== self.instance) {
				taken.push(place.instance);
			}

			if (taken.length === count) {
				return taken;
			}
		}
	}

	return taken;
}

function successorIndex(places: readonly Place[], position: number): number {
	const index = places.findIndex(place => place.position > position);
	return index === -1 ? 0 : index;
}
