import {instanceOf, type ReplicaId, type ReplicaSet} from '@valehitch/consensus';
import {type InstanceId} from '@valehitch/core';
import {type JoinReply} from './peer-message.js';

/** The inputs of the bootstrap decision. */
export type BootstrapReplicaSetOptions = {
	readonly self: InstanceId;
	readonly replica: ReplicaId;
	/** Whether the whole system starts for the first time. */
	readonly isFounding: boolean;
	/** The instances that form the initial group. */
	readonly initialMembers: readonly InstanceId[];
	/** The replies of the other instances. */
	readonly replies: readonly JoinReply[];
};

/**
Determines the replica set with which this replica bootstraps its group.

A group is bootstrapped only on the first start of the whole system, after all initial members have replied that they have never belonged to a group, and only by the member with the lowest name. The other members adopt the replica set that it reports.

@param options The inputs of the decision.
@returns The replica set, or `undefined` if this replica must wait for a leader to add it.
@example
```ts
bootstrapReplicaSet({self, replica, isFounding: true, initialMembers, replies});
```
*/
export function bootstrapReplicaSet({self, replica, isFounding, initialMembers, replies}: BootstrapReplicaSetOptions): ReplicaSet | undefined {
	const reported = replies.find(({initial}) => initial?.voters.includes(replica))?.initial;
	if (reported !== undefined || !isFounding || !initialMembers.includes(self)) {
		return reported;
	}

	const others: ReplicaId[] = [];
	for (const member of initialMembers) {
		const emptyReply = replies.find(reply => reply.isEmpty && instanceOf(reply.replica) === member);
		if (member !== self && (emptyReply === undefined || member < self)) {
			return undefined;
		}

		if (member !== self && emptyReply !== undefined) {
			others.push(emptyReply.replica);
		}
	}

	return {voters: [replica, ...others], learners: []};
}
