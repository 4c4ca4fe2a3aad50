import {type InstanceId, type ZoneId} from '@valehitch/core';
import {prefixHash, rendezvousScore} from './rendezvous-score.js';

/** An instance that may open connections to backend servers for others. */
export type RelayMember = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	/** Whether it has said that it reaches no server of some service. */
	readonly isCutOff: boolean;
};

/** Options of {@linkcode selectRelays}. */
export type SelectRelaysOptions = {
	/** The maximum number of relays; 12 by default. */
	readonly count?: number;
};

const defaultCount = 12;

/**
Selects the instances through which an instance reaches backend servers once its own links fail. It answers the load of instances that lose their links together, as all those of an availability zone do.

The zones take turns, the own one first, so that no single zone has all relays. Within a zone they are chosen by rendezvous hashing (Thaler and Ravishankar, 1998), so that each instance has others. Instances that are cut off themselves come last.

@param self The instance to select relays for.
@param members All instances.
@param options The number of relays.
@returns The relays, the preferred ones first.
@example
```ts
selectRelays({instance, zone}, members);
```
*/
export function selectRelays(self: Pick<RelayMember, 'instance' | 'zone'>, members: readonly RelayMember[], {count = defaultCount}: SelectRelaysOptions = {}): readonly InstanceId[] {
	const others = members.filter(({instance}) => instance !== self.instance);
	const connected = takeTurns(self, others.filter(({isCutOff}) => !isCutOff));
	const relays = connected.slice(0, count);
	return relays.length === count ? relays : [...relays, ...takeTurns(self, others.filter(({isCutOff}) => isCutOff)).slice(0, count - relays.length)];
}

/** Orders instances so that the zones take turns, the own one first. */
function takeTurns(self: Pick<RelayMember, 'instance' | 'zone'>, members: readonly RelayMember[]): readonly InstanceId[] {
	const prefix = prefixHash(`${self.instance} relays`);
	const byScore = members
		.map(member => ({...member, score: rendezvousScore(prefix, {server: member.instance, capacity: 1})}))
		.toSorted((one, other) => other.score - one.score);
	const turns = new Map<ZoneId, number>();
	const ordered = byScore.map(({instance, zone}) => {
		const turn = turns.get(zone) ?? 0;
		turns.set(zone, turn + 1);
		return {instance, isOwnZone: zone === self.zone, turn};
	});
	return ordered.toSorted((one, other) => one.turn - other.turn || Number(other.isOwnZone) - Number(one.isOwnZone)).map(({instance}) => instance);
}
