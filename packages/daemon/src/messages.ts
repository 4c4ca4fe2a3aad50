import {type Command, type CommandAnswer} from '@valehitch/control';
import {
	type Announcement, type Bill, type EffectiveConfiguration, type Failure, type InstanceId, type Revision, type ZoneId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';

/** A daemon as the others know it. */
export type Member = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	/** Where its peers' port is. */
	readonly host: string;
	readonly port: number;
};

/** Asks the control role for what is new, and says what is in force on the sender. */
export type SubscribeMessage = {
	readonly type: 'subscribe';
	readonly member: Member;
	/** The revision in force on the sender. */
	readonly revision: Revision;
};

/** Asks the control role to carry out a command. */
export type ProposeMessage = {
	readonly type: 'propose';
	readonly command: Command;
};

/** Hands on what a backend server said of itself. */
export type AnnouncementMessage = {
	readonly type: 'announcement';
	readonly announcement: Announcement;
};

/** Asks the control role which zones still wait for the current revision. */
export type InForceMessage = {
	readonly type: 'in-force';
};

/** Asks the control role for a page of the ledger. */
export type LedgerMessage = {
	readonly type: 'ledger';
	/** Bills of this workspace only. */
	readonly workspace?: string | undefined;
	/** How many bills to pass over. */
	readonly after: number;
};

/** The closed list of messages between daemons. */
export type PeerMessage = SubscribeMessage | ProposeMessage | AnnouncementMessage | InForceMessage | LedgerMessage;

/** Which zones do not have the current revision in force yet. */
export type InForce = {
	readonly complete: boolean;
	readonly waitingFor: readonly ZoneId[];
};

/** A page of the ledger. */
export type LedgerPage = {
	readonly bills: readonly Bill[];
	/** What to pass as `after` for the next page; undefined on the last. */
	readonly next?: number;
};

/** What a subscriber gets. */
export type SubscribeReply = {
	readonly revision: Revision;
	/** The configuration, where the subscriber's is older. */
	readonly effective?: EffectiveConfiguration;
	readonly members: readonly Member[];
};

/** An `Either` as it goes over a link. */
export type ResultReply<Value>
	= | {readonly ok: true; readonly value: Value}
		| {readonly ok: false; readonly failure: Failure};

/** What a proposer gets. */
export type ProposeReply = ResultReply<CommandAnswer>;

/**
Makes a result ready for a link.

@param result The result.
@returns The reply.
@example
```ts
toResultReply(state.apply(command));
```
*/
export function toResultReply<Value>(result: Either<Failure, Value>): ResultReply<Value> {
	return result.caseOf<ResultReply<Value>>({
		Left: failed => ({ok: false, failure: failed}),
		Right: value => ({ok: true, value}),
	});
}

/**
Reads a result that came over a link.

@param reply The reply.
@returns The result.
@example
```ts
fromResultReply(reply).map(answer => answer.revision);
```
*/
export function fromResultReply<Value>(reply: ResultReply<Value>): Either<Failure, Value> {
	return reply.ok ? Right(reply.value) : Left(reply.failure);
}
