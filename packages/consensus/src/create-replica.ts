import {lastIndexOf, openLog, replicaSetAt} from './_log.js';
import {seedRandom} from './_random.js';
import {
	type HardState, type LogEntry, type ReplicaSet, type Snapshot,
} from './log-entry.js';
import {type ReplicaId} from './replica-id.js';
import {defaultReplicaOptions, type ReplicaOptions} from './replica-options.js';
import {type ReplicaState} from './replica-state.js';

/** What a replica starts from: its settings and what its data folder holds. */
export type CreateReplicaOptions = {
	readonly id: ReplicaId;
	/** The initial replica set of the group; give the same at each start. A snapshot goes before it. Default none: the replica only listens until a leader takes it in. */
	readonly replicas?: ReplicaSet | undefined;
	/** The vote on disk. Default term 0 without a vote. */
	readonly hardState?: HardState | undefined;
	/** The newest snapshot on disk; the host restores the state machine from it. Default none. */
	readonly snapshot?: Snapshot | undefined;
	/** The entries on disk, in order; those before the snapshot's index are kept as a tail. Default none. */
	readonly entries?: readonly LogEntry[] | undefined;
	/** The last time at which a former run of the replica can have acknowledged a lease, in milliseconds on the monotonic clock: no later than the start of this process. Default the time of the call. */
	readonly lastAcknowledgedAt?: number | undefined;
	/** Where settings differ from the defaults. */
	readonly options?: ReplicaOptions | undefined;
	/** The seed of the election timeouts; should differ between replicas. */
	readonly seed: number;
};

/** The time between the first campaigns of two replicas, in milliseconds: two round trips within a region, and a sync of the disk for the vote. */
const firstCampaignStep = 75;
/** The part of a step that the first replica waits, since the others may have started a moment later. */
const firstCampaignShare = 0.25;

/**
Builds a replica from what is on disk.

It refuses votes for one minimum election timeout from when it can last have acknowledged a lease, and campaigns after that in the order of the replica set. A replica that is the only voter campaigns at its first tick.

@param parts The settings and what the data folder holds.
@param now Milliseconds on the monotonic clock.
@returns The state before the first step.
@throws {RangeError} Where the drift margin is not below the minimum election timeout, or that is above the maximum.
@example
```ts
const only = toReplicaId('entry-1', '6f1c');
createReplica({id: only, replicas: {voters: [only], learners: []}, seed: 1}, 0);
```
*/
export function createReplica(parts: CreateReplicaOptions, now: number): ReplicaState {
	const {
		id, replicas, hardState = {term: 0}, snapshot, entries = [], seed, lastAcknowledgedAt = now,
	} = parts;
	const options = checked({...defaultReplicaOptions, ...parts.options});
	const log = openLog({snapshot, entries, replicas});
	const placed = replicaSetAt(log, lastIndexOf(log));
	const boundUntil = Math.max(now, lastAcknowledgedAt + options.minimumElectionTimeout);
	const isAlone = placed.replicas?.voters.length === 1 && placed.replicas.voters[0] === id;
	return {
		id,
		options,
		hardState,
		log,
		commitIndex: snapshot?.lastIndex ?? 0,
		replicas: placed.replicas,
		replicasIndex: placed.index,
		role: {type: 'follower'},
		leader: undefined,
		lastContact: lastAcknowledgedAt,
		electionDeadline: isAlone ? now : boundUntil + firstCampaignDelay(id, {...options, voters: placed.replicas?.voters ?? []}),
		failedElections: 0,
		persistMilliseconds: 0,
		randomState: seedRandom(seed),
	};
}

type FirstCampaignOptions = Pick<Required<ReplicaOptions>, 'minimumElectionTimeout' | 'maximumElectionTimeout'> & {
	readonly voters: readonly ReplicaId[];
};

/** Replicas that start together campaign in the order of the replica set, each far enough after the one before that a calm election is over; only later timeouts are random. */
function firstCampaignDelay(id: ReplicaId, {voters, minimumElectionTimeout, maximumElectionTimeout}: FirstCampaignOptions): number {
	const longest = maximumElectionTimeout - minimumElectionTimeout;
	const position = voters.indexOf(id);
	return position === -1 ? longest : Math.min(longest, (position + firstCampaignShare) * firstCampaignStep);
}

function checked(options: Required<ReplicaOptions>): Required<ReplicaOptions> {
	const {minimumElectionTimeout, maximumElectionTimeout, driftMargin} = options;
	if (driftMargin >= minimumElectionTimeout) {
		throw new RangeError(`Got a drift margin of ${driftMargin} ms, wanted less than the minimum election timeout of ${minimumElectionTimeout} ms`);
	}

	if (minimumElectionTimeout > maximumElectionTimeout) {
		throw new RangeError(`Got a minimum election timeout of ${minimumElectionTimeout} ms, wanted at most the maximum of ${maximumElectionTimeout} ms`);
	}

	return options;
}
