import {instanceOf, type ReplicaId, type ReplicaSet} from '@valehitch/consensus';
import {type InstanceId} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type PeerAddress} from '@valehitch/transport';
import {type JoinReply} from './messages.js';

/** What a replica without a group needs to find or to found one. */
export type GroupSearchOptions = {
	readonly self: ReplicaId;
	/** All control instances, this one too. */
	readonly control: readonly PeerAddress[];
	/** Asks another control instance. */
	readonly ask: (to: PeerAddress) => Promise<Either<unknown, JoinReply>>;
	/** Whether this replica still belongs to no group. */
	readonly isEmpty: () => boolean;
};

/**
Looks once for the replicas that this replica's group begins with.

A group is founded only when every control instance answers that it never belonged to one, and only by the instance with the lowest name: so a group that exists is never founded again, whichever disks were lost, unless all of them were. A replica that the founder counted takes the founder's answer. Any other replica waits until a leader takes it in.

@param options Who is asked.
@returns The replicas to begin with; undefined where this replica must go on waiting.
@example
```ts
const replicas = await searchGroup({self, control, ask, isEmpty});
```
*/
export async function searchGroup({self, control, ask, isEmpty}: GroupSearchOptions): Promise<ReplicaSet | undefined> {
	const others = control.filter(({instance}) => instance !== instanceOf(self));
	const answers = await Promise.all(others.map(async other => ask(other)));
	if (!isEmpty()) {
		return undefined;
	}

	const replies = answers.flatMap(answer => answer.isRight() ? [answer.extract()] : []);
	for (const {initial} of replies) {
		if (initial?.voters.includes(self) === true) {
			return initial;
		}
	}

	const allAreEmpty = replies.length === others.length && replies.every(reply => reply.isEmpty);
	return allAreEmpty && isLowest(instanceOf(self), control)
		? {voters: [self, ...replies.map(({replica}) => replica)], learners: []}
		: undefined;
}

function isLowest(self: string, control: readonly PeerAddress[]): boolean {
	const names: InstanceId[] = control.map(({instance}) => instance);
	return names.every(name => self <= name);
}
