import {instanceOf, type ReplicaId, type ReplicaSet} from '@valehitch/consensus';
import {type InstanceId} from '@valehitch/core';
import {type JoinReply} from './peer-message.js';

/** The inputs of the bootstrap decision. */
export type BootstrapReplicaSetOptions = {
	readonly self: InstanceId;
	readonly replica: ReplicaId;
	/** Whether the whole system starts for the first time. */
	readonly isFounding: boolean;
	/** Whether this replica may take the place of members before it that were started again since; only soon after its own start. */
	readonly mayStandIn: boolean;
	/** The instances that form the initial group. */
	readonly initialMembers: readonly InstanceId[];
	/** The replies of the other instances. */
	readonly replies: readonly JoinReply[];
};

/**
Determines the replica set with which this replica bootstraps its group.

A group is bootstrapped only on the first start of the whole system, after all initial members have replied that they have never belonged to a group, and only by the member with the lowest name. A member that was started again meanwhile does not take part in the first start any more, so the next one takes its place. The other members adopt the replica set that it reports.

@param options The inputs of the decision.
@returns The replica set, or `undefined` if this replica must wait for a leader to add it.
@example
```ts
bootstrapReplicaSet({self, replica, isFounding: true, mayStandIn: true, initialMembers, replies});
```
*/
export function bootstrapReplicaSet({self, replica, isFounding, mayStandIn, initialMembers, replies}: BootstrapReplicaSetOptions): ReplicaSet | undefined {
	const reported = replies.find(({initial}) => initial?.voters.includes(replica))?.initial;
	if (reported !== undefined || !isFounding || !initialMembers.includes(self) || replies.some(({isEmpty}) => !isEmpty)) {
		return reported;
	}

	const others: ReplicaId[] = [];
	for (const member of initialMembers) {
		if (member === self) {
			continue;
		}

		const reply = replies.find(other => instanceOf(other.replica) === member);
		if (reply === undefined || (member < self && !(mayStandIn && reply.isFounding === false))) {
			return undefined;
		}

		others.push(reply.replica);
	}

	return {voters: [replica, ...others], learners: []};
}
