import {type InstanceId, type ZoneId} from '@valehitch/core';
import {hashModulus} from './_hash-modulus.js';
import {prefixHash} from './rendezvous-score.js';

/** An instance that may open connections to backend servers for others. */
export type RelayMember = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	/** Whether it has said that it reaches no server of some service. */
	readonly isCutOff: boolean;
};

/** Options of {@linkcode RelayRanking.select}. */
export type SelectRelaysOptions = {
	/** The maximum number of relays; 12 by default. */
	readonly count?: number;
};

/** An instance and its hash. */
type Candidate = {
	readonly instance: InstanceId;
	readonly hash: number;
};

type Zones = ReadonlyMap<ZoneId, readonly Candidate[]>;

type ScoredCandidate = {
	readonly instance: InstanceId;
	readonly score: number;
};

const defaultCount = 12;

/**
The instances through which others reach backend servers once their own links fail. It answers the load of instances that lose their links together, as all those of an availability zone do.

The zones take turns, the own one first, so that no single zone has all relays. Within a zone they are ranked by rendezvous hashing (Thaler and Ravishankar, 1998), so that each instance has others. Instances that are cut off themselves come last.

@example
```ts
new RelayRanking(members).select({instance, zone});
```
*/
export class RelayRanking {
	readonly #connected: Zones;
	readonly #cutOff: Zones;

	/**
	@param members All instances.
	*/
	constructor(members: readonly RelayMember[]) {
		this.#connected = groupByZone(members.filter(({isCutOff}) => !isCutOff));
		this.#cutOff = groupByZone(members.filter(({isCutOff}) => isCutOff));
	}

	/**
	Selects the relays of an instance.

	@param self The instance.
	@param options The number of relays.
	@returns The relays, the preferred ones first.
	*/
	select(self: Pick<RelayMember, 'instance' | 'zone'>, {count = defaultCount}: SelectRelaysOptions = {}): readonly InstanceId[] {
		const relays = takeTurns(this.#connected, self, count);
		return relays.length === count ? relays : [...relays, ...takeTurns(this.#cutOff, self, count - relays.length)];
	}
}

function groupByZone(members: readonly RelayMember[]): Zones {
	const zones = new Map<ZoneId, Candidate[]>();
	for (const {instance, zone} of members) {
		const candidates = zones.get(zone) ?? [];
		candidates.push({instance, hash: prefixHash(instance)});
		zones.set(zone, candidates);
	}

	return zones;
}

/** Takes the highest ranked instances of each zone in turn. */
function takeTurns(zones: Zones, self: Pick<RelayMember, 'instance' | 'zone'>, count: number): readonly InstanceId[] {
	const ranked = [...zones]
		.toSorted(([one], [other]) => Number(other === self.zone) - Number(one === self.zone))
		.map(([, candidates]) => rank(candidates, {self: self.instance, count}));
	const longest = Math.max(0, ...ranked.map(({length}) => length));
	const taken: InstanceId[] = [];
	for (let turn = 0; turn < longest; turn++) {
		for (const instances of ranked) {
			const scored = instances[turn];
			if (scored !== undefined) {
				taken.push(scored.instance);
			}

			if (taken.length === count) {
				return taken;
			}
		}
	}

	return taken;
}

/** Returns the candidates with the highest scores for an instance, in their order; sorting all of them costs more. */
function rank(candidates: readonly Candidate[], {self, count}: {readonly self: InstanceId; readonly count: number}): readonly ScoredCandidate[] {
	const selfHash = prefixHash(self);
	const highest: ScoredCandidate[] = [];
	for (const {instance, hash} of candidates) {
		const score = scorePair(selfHash, hash);
		const isAmong = highest.length < count || score > highest.at(-1)!.score;
		if (instance === self || !isAmong) {
			continue;
		}

		const index = highest.findIndex(other => other.score < score);
		highest.splice(index === -1 ? highest.length : index, 0, {instance, score});
		if (highest.length > count) {
			highest.pop();
		}
	}

	return highest;
}

/** Scores a candidate for an instance by universal hashing (Carter and Wegman, 1979). */
function scorePair(selfHash: number, candidateHash: number): number {
	return (selfHash + 1) * candidateHash % hashModulus;
}
