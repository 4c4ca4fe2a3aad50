import {type InstanceId, type ServerId, type ZoneId} from '@valehitch/core';
import {prefixHash, rendezvousScore} from './rendezvous-score.js';

/** An instance that may hold a lease. */
export type LeaseCandidate = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
};

/** Options of {@linkcode permitsFor}. */
export type PermitsForOptions = {
	readonly server: {readonly id: ServerId; readonly zone: ZoneId};
	/** The instances that ask this control instance, including the one in question. */
	readonly candidates: readonly LeaseCandidate[];
	/** The number of sends per window that may be granted in total. */
	readonly share: number;
};

/**
Divides the sends per window that may be granted for a server among the instances that ask for them.

Instances in the zone of the server come first, since they send most of what it gets. Where there are fewer permits than such instances, some of them get one each, chosen by rendezvous hashing, so that the same few keep their connections and cached prompts.

@param instance The instance that asks.
@param options The server, and who else asks.
@returns The number of sends per window that the instance should have.
@example
```ts
permitsFor(instance, {server, candidates: [{instance, zone}], share: 3}); // 3
```
*/
export function permitsFor(instance: InstanceId, {server, candidates, share}: PermitsForOptions): number {
	const local = candidates.filter(({zone}) => zone === server.zone);
	const preferred = local.length > 0 ? local : candidates;
	if (!preferred.some(candidate => candidate.instance === instance)) {
		return 0;
	}

	if (preferred.length <= share) {
		return Math.floor(share / preferred.length);
	}

	return rankOf(instance, {server: server.id, preferred}) < share ? 1 : 0;
}

function rankOf(instance: InstanceId, {server, preferred}: {readonly server: ServerId; readonly preferred: readonly LeaseCandidate[]}): number {
	const ownScore = scoreOf(instance, server);
	let rank = 0;
	for (const {instance: other} of preferred) {
		rank += other !== instance && scoreOf(other, server) > ownScore ? 1 : 0;
	}

	return rank;
}

function scoreOf(instance: InstanceId, server: ServerId): number {
	return rendezvousScore(prefixHash(instance), {server, capacity: 1});
}
