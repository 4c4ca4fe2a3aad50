import {isCaughtUp, mayChangeReplicas} from './_membership.js';
import {type ReplicaSet} from './log-entry.js';
import {type ReplicaChange} from './replica-event.js';
import {instanceOf, type ReplicaId} from './replica-id.js';
import {type ReplicaState} from './replica-state.js';

/** What is known of the instances that should hold replicas. */
export type PlanReplacementOptions = {
	/** The replica that each instance runs now, by the identity of its data folder; an instance that is not reached is left out. */
	readonly present: readonly ReplicaId[];
};

/**
The next change that replaces a replica by a new identity of the same instance.

The order is: add the new one as a learner, wait until it is caught up, remove the old one, promote the new one. The old identity is gone for good, so that its removal never raises the number of replicas that must answer. While a learner is in the set, the repair is not finished.

@param state The replica; only a leader plans.
@param options What is known of the instances.
@returns The change to propose, or undefined where none is needed or the next one must wait.
@example
```ts
const change = planReplacement(state, {present});
```
*/
export function planReplacement(state: ReplicaState, {present}: PlanReplacementOptions): ReplicaChange | undefined {
	const {replicas} = state;
	if (!replicas || !mayChangeReplicas(state)) {
		return undefined;
	}

	for (const replica of present) {
		const change = nextChange(state, replicas, replica);
		if (change) {
			return change;
		}
	}

	return undefined;
}

function nextChange(state: ReplicaState, {voters, learners}: ReplicaSet, replica: ReplicaId): ReplicaChange | undefined {
	const oldVoter = otherIdentity(voters, replica);
	const oldLearner = otherIdentity(learners, replica);
	if (oldLearner) {
		return {type: 'remove', replica: oldLearner};
	}

	if (voters.includes(replica)) {
		return oldVoter && {type: 'remove', replica: oldVoter};
	}

	if (oldVoter && !learners.includes(replica)) {
		return {type: 'add-learner', replica};
	}

	if (!learners.includes(replica) || !isCaughtUp(state, replica)) {
		return undefined;
	}

	return oldVoter ? {type: 'remove', replica: oldVoter} : {type: 'promote', replica};
}

function otherIdentity(replicas: readonly ReplicaId[], replica: ReplicaId): ReplicaId | undefined {
	const instance = instanceOf(replica);
	return replicas.find(other => other !== replica && instanceOf(other) === instance);
}
