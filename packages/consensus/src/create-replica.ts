import {lastIndexOf, buildLog, replicaSetAt} from './_log.js';
import {seedRandom} from './_random.js';
import {
	type HardState, type LogEntry, type ReplicaSet, type Snapshot,
} from './log-entry.js';
import {type ReplicaId} from './replica-id.js';
import {defaultReplicaOptions, type ReplicaOptions} from './replica-options.js';
import {type ReplicaState} from './replica-state.js';

/** The settings of a replica and the contents of its data folder. */
export type CreateReplicaOptions = {
	readonly id: ReplicaId;
	/** The initial replica set; must be the same at each start. A snapshot takes precedence. Default none: the replica is passive until a leader adds it. */
	readonly replicas?: ReplicaSet | undefined;
	/** The stored term and vote. Default term 0 without a vote. */
	readonly hardState?: HardState | undefined;
	/** The newest stored snapshot, from which the host restores the state machine. Default none. */
	readonly snapshot?: Snapshot | undefined;
	/** The stored entries in order. Those up to the snapshot's index are kept as trailing entries. Default none. */
	readonly entries?: readonly LogEntry[] | undefined;
	/** The latest time at which a previous run of the replica may have acknowledged a lease, in milliseconds of the monotonic clock; at most the start time of this process. Default the time of the call. */
	readonly lastAcknowledgedAt?: number | undefined;
	/** The options that differ from the defaults. */
	readonly options?: ReplicaOptions | undefined;
	/** The seed of the random election timeouts; should differ between replicas. */
	readonly seed: number;
};

/** The time between the first campaigns of two replicas, in milliseconds: two round trips within a region, and a disk sync for the vote. */
const campaignStaggerMilliseconds = 75;
/** The delay of the first replica as a fraction of the stagger, since the others may have started slightly later. */
const initialStaggerFraction = 0.25;

/**
Creates a replica from its stored state.

The replica refuses votes for one minimum election timeout after the time at which it may have acknowledged a lease, and then campaigns in the order of the replica set. A replica that is the only voter campaigns at its first tick.

@param parts The settings and the stored state.
@param now Milliseconds of the monotonic clock.
@returns The state before the first step.
@throws {RangeError} If the drift margin is not below the minimum election timeout, or the latter is above the maximum.
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
	const options = validateOptions({...defaultReplicaOptions, ...parts.options});
	const log = buildLog({snapshot, entries, replicas});
	const current = replicaSetAt(log, lastIndexOf(log));
	const votesWithheldUntil = Math.max(now, lastAcknowledgedAt + options.minimumElectionTimeout);
	const isOnlyVoter = current.replicas?.voters.length === 1 && current.replicas.voters[0] === id;
	return {
		id,
		options,
		hardState,
		log,
		commitIndex: snapshot?.lastIndex ?? 0,
		replicas: current.replicas,
		replicaSetIndex: current.index,
		role: {type: 'follower'},
		leader: undefined,
		lastContact: lastAcknowledgedAt,
		electionDeadline: isOnlyVoter ? now : votesWithheldUntil + firstCampaignDelay(id, {...options, voters: current.replicas?.voters ?? []}),
		failedElections: 0,
		persistMilliseconds: 0,
		randomState: seedRandom(seed),
	};
}

type FirstCampaignOptions = Pick<Required<ReplicaOptions>, 'minimumElectionTimeout' | 'maximumElectionTimeout'> & {
	readonly voters: readonly ReplicaId[];
};

/** Returns the delay of the first campaign. Replicas that start together campaign in the order of the replica set, each after the previous one had time to win an election without faults. Only later timeouts are random. */
function firstCampaignDelay(id: ReplicaId, {voters, minimumElectionTimeout, maximumElectionTimeout}: FirstCampaignOptions): number {
	const maximumDelay = maximumElectionTimeout - minimumElectionTimeout;
	const position = voters.indexOf(id);
	return position === -1 ? maximumDelay : Math.min(maximumDelay, (position + initialStaggerFraction) * campaignStaggerMilliseconds);
}

function validateOptions(options: Required<ReplicaOptions>): Required<ReplicaOptions> {
	const {minimumElectionTimeout, maximumElectionTimeout, driftMargin} = options;
	if (driftMargin >= minimumElectionTimeout) {
		throw new RangeError(`Drift margin (${driftMargin} ms) must be less than the minimum election timeout (${minimumElectionTimeout} ms)`);
	}

	if (minimumElectionTimeout > maximumElectionTimeout) {
		throw new RangeError(`Minimum election timeout (${minimumElectionTimeout} ms) must not exceed the maximum (${maximumElectionTimeout} ms)`);
	}

	return options;
}
