import {
	type AppendReply, type AppendRequest, type ReplicaId, type ReplicaMessage,
} from '@valehitch/consensus';
import {match} from 'ts-pattern';

type AppendRequestTuple = readonly [
	kind: 0, term: number, previousIndex: number, previousTerm: number, commitIndex: number, round: number, entries: AppendRequest['entries'],
];

type AppendReplyTuple = readonly [kind: 1, term: number, success: boolean, matchIndex: number, round: number];

type RareMessage = Exclude<ReplicaMessage, AppendRequest | AppendReply>;

/** A message between replicas with its sender and receiver. */
export type ReplicaDelivery = {
	readonly from: ReplicaId;
	readonly to: ReplicaId;
	readonly message: ReplicaMessage;
};

/** A message between replicas as it goes over a link: heartbeats without names, since they go over all the time. */
export type ReplicaWire = AppendRequestTuple | AppendReplyTuple | readonly [kind: 2, message: RareMessage];

/**
Writes a message between replicas for a link.

@param message The message.
@returns What goes over.
@example
```ts
send(to, writeReplicaMessage(message));
```
*/
export function writeReplicaMessage(message: ReplicaMessage): ReplicaWire {
	return match<ReplicaMessage, ReplicaWire>(message)
		.with({type: 'append-request'}, ({term, previousIndex, previousTerm, commitIndex, round, entries}) =>
			[0, term, previousIndex, previousTerm, commitIndex, round, entries])
		.with({type: 'append-reply'}, ({term, success, matchIndex, round}) => [1, term, success, matchIndex, round])
		.otherwise(rare => [2, rare]);
}

/**
Reads a message between replicas that came over a link.

@param wire What `writeReplicaMessage` gave.
@returns The message.
@example
```ts
replica.take(readReplicaMessage(wire));
```
*/
export function readReplicaMessage(wire: ReplicaWire): ReplicaMessage {
	if (wire[0] === 0) {
		const [, term, previousIndex, previousTerm, commitIndex, round, entries] = wire;
		return {
			type: 'append-request', term, previousIndex, previousTerm, commitIndex, round, entries,
		};
	}

	if (wire[0] === 1) {
		const [, term, success, matchIndex, round] = wire;
		return {
			type: 'append-reply', term, success, matchIndex, round,
		};
	}

	return wire[1];
}
