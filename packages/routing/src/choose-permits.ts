import {type InstanceId, type ServerId, type ZoneId} from '@valehitch/core';
import {prefixHash, rendezvousScore} from './rendezvous-score.js';

/** An instance that may hold a lease. */
export type LeaseCandidate = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
};

/** Options of {@linkcode choosePermits}. */
export type ChoosePermitsOptions = {
	/** The instances that ask this control instance. */
	readonly candidates: readonly LeaseCandidate[];
	/** The number of sends per window that may be granted in total. */
	readonly share: number;
	/** The control instance that grants, if each should choose other holders; by default all choose the same. */
	readonly grantor?: InstanceId;
};

/**
Divides the sends per window that may be granted for a server among the instances that ask for them.

Instances in the zone of the server come first, since they send most of what it gets. Where there are fewer permits than such instances, some of them get one each, chosen by rendezvous hashing, so that the same few keep their connections and cached prompts.

@param server The server.
@param options Who asks, and how much may be granted.
@returns The sends per window of each instance that gets any.
@example
```ts
choosePermits(server, {candidates: [{instance, zone}], share: 3}); // Map {instance => 3}
```
*/
export function choosePermits(server: {readonly id: ServerId; readonly zone: ZoneId}, {candidates, share, grantor}: ChoosePermitsOptions): ReadonlyMap<InstanceId, number> {
	const local = candidates.filter(({zone}) => zone === server.zone);
	const preferred = (local.length > 0 ? local : candidates).map(({instance}) => instance);
	if (preferred.length <= share) {
		return new Map(preferred.map(instance => [instance, Math.floor(share / preferred.length)]));
	}

	const scored = preferred.map(instance => ({instance, score: rendezvousScore(prefixHash(grantor === undefined ? instance : `${instance} ${grantor}`), {server: server.id, capacity: 1})}));
	const chosen = scored.toSorted((one, other) => other.score - one.score).slice(0, share);
	return new Map(chosen.map(({instance}) => [instance, 1]));
}
