import {isCaughtUp, canChangeReplicas} from './_membership.js';
import {type ReplicaSet} from './log-entry.js';
import {type ReplicaChange} from './replica-event.js';
import {instanceOf, type ReplicaId} from './replica-id.js';
import {type ReplicaState} from './replica-state.js';

/** The inputs of `planReplacement`. */
export type PlanReplacementOptions = {
	/** The current replica of each reachable instance, by the identity of its data folder. */
	readonly active: readonly ReplicaId[];
};

/**
Returns the next change that replaces a replica with a new identity of the same instance.

The order is: add the new replica as a learner, wait until it has caught up, remove the old one, promote the new one. The old identity cannot return, so its removal does not increase the number of replicas that must respond. The replacement is complete when the replica set has no learners.

@param state The replica; only a leader plans changes.
@param options The current replicas.
@returns The change to propose, or undefined if none is needed or the next one must wait.
@example
```ts
const change = planReplacement(state, {active});
```
*/
export function planReplacement(state: ReplicaState, {active}: PlanReplacementOptions): ReplicaChange | undefined {
	const {replicas} = state;
	if (!replicas || !canChangeReplicas(state)) {
		return undefined;
	}

	for (const replica of active) {
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
