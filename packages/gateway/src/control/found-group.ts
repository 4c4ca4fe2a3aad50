import {instanceOf, type ReplicaId, type ReplicaSet} from '@valehitch/consensus';
import {type InstanceId} from '@valehitch/core';
import {type JoinReply} from './peer-message.js';

/** What is known when a group is looked for. */
export type FoundGroupOptions = {
	readonly self: InstanceId;
	readonly replica: ReplicaId;
	/** Whether the whole system starts for the first time. */
	readonly isFounding: boolean;
	/** The instances that found the group together. */
	readonly founders: readonly InstanceId[];
	/** What the others say of themselves. */
	readonly replies: readonly JoinReply[];
};

/**
Finds the replicas that this one's group begins with.

A group is founded only at the first start of the whole system, when all founders say that they never belonged to one, and only by the one with the lowest name; the others take its answer.

@param options What is known.
@returns The replicas; undefined where this replica must go on waiting for a leader that takes it in.
@example
```ts
foundGroup({self, replica, isFounding: true, founders, replies});
```
*/
export function foundGroup({self, replica, isFounding, founders, replies}: FoundGroupOptions): ReplicaSet | undefined {
	const told = replies.find(({initial}) => initial?.voters.includes(replica))?.initial;
	if (told !== undefined || !isFounding || !founders.includes(self)) {
		return told;
	}

	const others: ReplicaId[] = [];
	for (const founder of founders) {
		const empty = replies.find(reply => reply.isEmpty && instanceOf(reply.replica) === founder);
		if (founder !== self && (empty === undefined || founder < self)) {
			return undefined;
		}

		if (founder !== self && empty !== undefined) {
			others.push(empty.replica);
		}
	}

	return {voters: [replica, ...others], learners: []};
}
