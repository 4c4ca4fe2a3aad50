import {isCaughtUp, mayChangeReplicas} from './_membership.js';
import {planReplacement} from './plan-replacement.js';
import {type ReplicaChange} from './replica-event.js';
import {instanceOf, type ReplicaId} from './replica-id.js';
import {type ReplicaState} from './replica-state.js';

/** A replica without a vote that asks to be taken in. */
export type JoiningReplica = {
	readonly replica: ReplicaId;
	/** Whether it started together with the group for the first time, so that it is a member to be and not a successor. */
	readonly isFounding: boolean;
	/** Milliseconds since it first asked. */
	readonly waiting: number;
};

/** What is known of the replicas. */
export type PlanMembershipOptions = {
	readonly joining: readonly JoiningReplica[];
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** The silence after which a voter may give its place to a successor, in milliseconds; 6,000 by default. */
	readonly silentMilliseconds?: number;
	/** The time after which a successor gets a vote though no voter is silent, in milliseconds; 10,000 by default. */
	readonly patienceMilliseconds?: number;
};

const defaultSilentMilliseconds = 6000;
const defaultPatienceMilliseconds = 10_000;
/** Fewer voters cannot bear the loss of one. */
const leastVoters = 3;

/**
The next change of the replica set where no list names the control instances: new identities of known instances first, then successors at new addresses.

A successor learns, and votes once it holds everything; a silent voter is removed only when its successor is ready, or while enough others remain.

@param state The replica; only a leader plans.
@param options What is known of the replicas.
@returns The change to propose, or undefined where none is needed or the next one must wait.
@example
```ts
const change = planMembership(state, {joining, now: clock.monotonic()});
```
*/
export function planMembership(state: ReplicaState, options: PlanMembershipOptions): ReplicaChange | undefined {
	const {replicas} = state;
	if (replicas === undefined || !mayChangeReplicas(state)) {
		return undefined;
	}

	const members = [...replicas.voters, ...replicas.learners];
	const isReturning = (replica: ReplicaId): boolean => members.some(member => member !== replica && instanceOf(member) === instanceOf(replica));
	const returning = options.joining.map(({replica}) => replica).filter(replica => isReturning(replica));
	const replacement = planReplacement(state, {present: returning});
	if (replacement !== undefined) {
		return replacement;
	}

	const silent = silentVoter(state, options);
	for (const joining of options.joining) {
		const change = isReturning(joining.replica) ? undefined : planNewcomer(state, {joining, silent, patienceMilliseconds: options.patienceMilliseconds ?? defaultPatienceMilliseconds});
		if (change !== undefined) {
			return change;
		}
	}

	return silent !== undefined && replicas.voters.length > leastVoters ? {type: 'remove', replica: silent} : undefined;
}

type NewcomerOptions = {
	readonly joining: JoiningReplica;
	readonly patienceMilliseconds: number;
	readonly silent: ReplicaId | undefined;
};

function planNewcomer(state: ReplicaState, {joining, silent, patienceMilliseconds}: NewcomerOptions): ReplicaChange | undefined {
	const {voters, learners} = state.replicas!;
	const {replica, isFounding, waiting} = joining;
	if (voters.includes(replica)) {
		return undefined;
	}

	if (!learners.includes(replica)) {
		return {type: 'add-learner', replica};
	}

	if (!isCaughtUp(state, replica)) {
		return undefined;
	}

	if (silent !== undefined) {
		return {type: 'remove', replica: silent};
	}

	const mayVote = isFounding || voters.length < leastVoters || waiting >= patienceMilliseconds;
	return mayVote ? {type: 'promote', replica} : undefined;
}

/** A voter that has answered no round for long. */
function silentVoter({id, role, replicas}: ReplicaState, {now, silentMilliseconds = defaultSilentMilliseconds}: PlanMembershipOptions): ReplicaId | undefined {
	if (role.type !== 'leader') {
		return undefined;
	}

	for (const voter of replicas!.voters) {
		const lastHeard = role.progress.get(voter)?.ackedAt ?? role.since;
		if (voter !== id && now - Math.max(lastHeard, role.since) >= silentMilliseconds) {
			return voter;
		}
	}

	return undefined;
}
