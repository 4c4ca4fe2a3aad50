import {instanceOf, type ReplicaId, type ReplicaSet} from '@valehitch/consensus';
import {type InstanceId} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type PeerAddress} from '@valehitch/transport';
import {type JoinReply} from './messages.js';

/** The options of `discoverGroup`. */
export type DiscoverGroupOptions = {
	readonly self: ReplicaId;
	/** All control instances, including this one. */
	readonly control: readonly PeerAddress[];
	/** Sends a join request to another control instance. */
	readonly ask: (to: PeerAddress) => Promise<Either<unknown, JoinReply>>;
	/** Returns whether this replica still has never belonged to a group. */
	readonly isEmpty: () => boolean;
};

/**
Tries once to determine the initial replica set of the group, in order to bootstrap the group or to join its bootstrap.

Only the instance with the lowest name bootstraps a group, and only if every control instance replies that it has never belonged to one. An existing group is therefore never bootstrapped again, whichever disks are lost, unless all of them are. A replica in the initial set of the bootstrapping instance adopts that set. Any other replica waits until a leader adds it.

@param options The control instances and how to reach them.
@returns The initial replica set; undefined if this replica must keep waiting.
@example
```ts
const replicas = await discoverGroup({self, control, ask, isEmpty});
```
*/
export async function discoverGroup({self, control, ask, isEmpty}: DiscoverGroupOptions): Promise<ReplicaSet | undefined> {
	const others = control.filter(({instance}) => instance !== instanceOf(self));
	const results = await Promise.all(others.map(async other => ask(other)));
	if (!isEmpty()) {
		return undefined;
	}

	const replies = results.flatMap(result => result.isRight() ? [result.extract()] : []);
	for (const {initial} of replies) {
		if (initial?.voters.includes(self) === true) {
			return initial;
		}
	}

	const allAreEmpty = replies.length === others.length && replies.every(reply => reply.isEmpty);
	return allAreEmpty && hasLowestName(instanceOf(self), control)
		? {voters: [self, ...replies.map(({replica}) => replica)], learners: []}
		: undefined;
}

function hasLowestName(self: string, control: readonly PeerAddress[]): boolean {
	const names: InstanceId[] = control.map(({instance}) => instance);
	return names.every(name => self <= name);
}
