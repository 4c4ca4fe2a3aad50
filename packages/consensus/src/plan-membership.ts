import {isCaughtUp, canChangeReplicas} from './_membership.js';
import {planReplacement} from './plan-replacement.js';
import {type ReplicaChange} from './replica-event.js';
import {instanceOf, type ReplicaId} from './replica-id.js';
import {type ReplicaState} from './replica-state.js';

/** A replica that requests to join and is not a voter. */
export type JoiningReplica = {
	readonly replica: ReplicaId;
	/** Whether the replica started together with the initial replica set, so that it is an initial member and not a replacement. */
	readonly isFounding: boolean;
	/** Milliseconds since its first join request. */
	readonly waiting: number;
};

/** The inputs of `planMembership`. */
export type PlanMembershipOptions = {
	readonly joining: readonly JoiningReplica[];
	/** Milliseconds of the monotonic clock. */
	readonly now: number;
	/** The time without contact after which a voter may be replaced, in milliseconds. Default 6,000. */
	readonly unresponsiveMilliseconds?: number;
	/** The waiting time after which a joining replica becomes a voter although no voter is unresponsive, in milliseconds. Default 10,000. */
	readonly promotionDelayMilliseconds?: number;
	/** How many voters may lose their disks at the same time. Default 1. */
	readonly toleratedLosses?: number;
};

const defaultUnresponsiveMilliseconds = 6000;
const defaultPromotionDelayMilliseconds = 10_000;
const defaultToleratedLosses = 1;

/**
Returns the next change of the replica set for deployments without a fixed list of control instances. New identities of existing instances come first, then replicas of new instances.

A joining replica is a learner until it has caught up. An unresponsive voter is removed only if a replacement is ready or the remaining voters bear the tolerated losses, since it may be cut off with its disk intact.

@param state The replica; only a leader plans changes.
@param options The joining replicas, the time and the timeouts.
@returns The change to propose, or undefined if none is needed or the next one must wait.
@example
```ts
const change = planMembership(state, {joining, now: clock.monotonic()});
```
*/
export function planMembership(state: ReplicaState, options: PlanMembershipOptions): ReplicaChange | undefined {
	const {replicas} = state;
	if (replicas === undefined || !canChangeReplicas(state)) {
		return undefined;
	}

	const members = [...replicas.voters, ...replicas.learners];
	const isReplacement = (replica: ReplicaId): boolean => members.some(member => member !== replica && instanceOf(member) === instanceOf(replica));
	const replacements = options.joining.map(({replica}) => replica).filter(replica => isReplacement(replica));
	const replacementChange = planReplacement(state, {active: replacements});
	if (replacementChange !== undefined) {
		return replacementChange;
	}

	const unresponsive = unresponsiveVoter(state, options);
	const {promotionDelayMilliseconds = defaultPromotionDelayMilliseconds, toleratedLosses = defaultToleratedLosses} = options;
	// A quorum of the voters must be left after the losses.
	const minimumVoters = (2 * toleratedLosses) + 1;
	for (const joining of options.joining) {
		const change = isReplacement(joining.replica)
			? undefined
			: planJoining(state, {
				joining, unresponsive, promotionDelayMilliseconds, minimumVoters,
			});
		if (change !== undefined) {
			return change;
		}
	}

	return unresponsive !== undefined && replicas.voters.length > minimumVoters ? {type: 'remove', replica: unresponsive} : undefined;
}

type PlanJoiningOptions = {
	readonly joining: JoiningReplica;
	readonly promotionDelayMilliseconds: number;
	readonly minimumVoters: number;
	readonly unresponsive: ReplicaId | undefined;
};

function planJoining(state: ReplicaState, {joining, unresponsive, promotionDelayMilliseconds, minimumVoters}: PlanJoiningOptions): ReplicaChange | undefined {
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

	if (unresponsive !== undefined) {
		return {type: 'remove', replica: unresponsive};
	}

	const canPromote = isFounding || voters.length < minimumVoters || waiting >= promotionDelayMilliseconds;
	return canPromote ? {type: 'promote', replica} : undefined;
}

/** Returns a voter without contact for `unresponsiveMilliseconds`. */
function unresponsiveVoter({id, role, replicas}: ReplicaState, {now, unresponsiveMilliseconds = defaultUnresponsiveMilliseconds}: PlanMembershipOptions): ReplicaId | undefined {
	if (role.type !== 'leader') {
		return undefined;
	}

	for (const voter of replicas!.voters) {
		const lastContact = role.progress.get(voter)?.ackedRoundSentAt ?? role.since;
		if (voter !== id && now - Math.max(lastContact, role.since) >= unresponsiveMilliseconds) {
			return voter;
		}
	}

	return undefined;
}
