import {
	type AppendReply, type AppendRequest, type ReplicaId, type ReplicaMessage,
} from '@valehitch/consensus';
import {match} from 'ts-pattern';

type AppendRequestTuple = readonly [
	kind: 0, term: number, previousIndex: number, previousTerm: number, commitIndex: number, round: number, entries: AppendRequest['entries'],
];

type AppendReplyTuple = readonly [kind: 1, term: number, success: boolean, matchIndex: number, round: number];

type OtherMessage = Exclude<ReplicaMessage, AppendRequest | AppendReply>;

/** A message between replicas with its sender and receiver. */
export type AddressedReplicaMessage = {
	readonly from: ReplicaId;
	readonly to: ReplicaId;
	readonly message: ReplicaMessage;
};

/** The encoded form of a message between replicas. Heartbeats and their replies are tuples without member names, because they are sent continuously. */
export type EncodedReplicaMessage = AppendRequestTuple | AppendReplyTuple | readonly [kind: 2, message: OtherMessage];

/**
Encodes a message between replicas.

@param message The message.
@returns The encoded message.
@example
```ts
send(to, encodeReplicaMessage(message));
```
*/
export function encodeReplicaMessage(message: ReplicaMessage): EncodedReplicaMessage {
	return match<ReplicaMessage, EncodedReplicaMessage>(message)
		.with({type: 'append-request'}, ({term, previousIndex, previousTerm, commitIndex, round, entries}) =>
			[0, term, previousIndex, previousTerm, commitIndex, round, entries])
		.with({type: 'append-reply'}, ({term, success, matchIndex, round}) => [1, term, success, matchIndex, round])
		.otherwise(other => [2, other]);
}

/**
Decodes a message between replicas.

@param encoded The output of `encodeReplicaMessage`.
@returns The message.
@example
```ts
driver.push({type: 'message', from, message: decodeReplicaMessage(wire)});
```
*/
export function decodeReplicaMessage(encoded: EncodedReplicaMessage): ReplicaMessage {
	if (encoded[0] === 0) {
		const [, term, previousIndex, previousTerm, commitIndex, round, entries] = encoded;
		return {
			type: 'append-request', term, previousIndex, previousTerm, commitIndex, round, entries,
		};
	}

	if (encoded[0] === 1) {
		const [, term, success, matchIndex, round] = encoded;
		return {
			type: 'append-reply', term, success, matchIndex, round,
		};
	}

	return encoded[1];
}
