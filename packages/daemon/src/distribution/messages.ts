import {type InstanceId, type Revision} from '@valehitch/core';
import {
	type DigestPart, type LeaseGrant, type LeaseQuestion, type LeaseRelease, type LoadRecord, type MemberRecord, type ServerRecord,
} from '@valehitch/membership';
import {type ExchangeTuple} from './exchange-codec.js';

/** A record of the digest of members and servers. */
export type SharedRecord
	= | {readonly kind: 'member'; readonly member: MemberRecord}
		| {readonly kind: 'server'; readonly server: ServerRecord};

/** What both sides of an exchange say. */
export type ExchangeParts = {
	/** The newest revision that the sender holds. */
	readonly revision: Revision;
	/** The sender's configuration, packed, where the receiver's is older. */
	readonly configuration?: Uint8Array | undefined;
	readonly records: DigestPart<SharedRecord>;
	/** Loads of backend servers; goes along now and then only. */
	readonly loads?: DigestPart<LoadRecord> | undefined;
};

/** Asks a parent for a lease and says what is new below. */
export type Exchange = ExchangeParts & {
	readonly question: LeaseQuestion;
};

/** Carries an exchange; the answer is a `ReplyTuple`. */
export type ExchangeMessage = {
	readonly scope: 'distribution';
	readonly type: 'exchange';
	readonly body: ExchangeTuple;
};

/** What a parent answers. */
export type ExchangeReply = ExchangeParts & {
	/** The lease, where the parent holds one. */
	readonly grant?: LeaseGrant | undefined;
	/** The leader, where the parent knows it. */
	readonly leader?: InstanceId | undefined;
};

/** Tells a child that there is news, so that it asks at once. */
export type NewsMessage = {
	readonly scope: 'distribution';
	readonly type: 'news';
};

/** Tells a former parent that another one covers what it counted; goes once for each move. */
export type ReleaseMessage = {
	readonly scope: 'distribution';
	readonly type: 'release';
	readonly body: LeaseRelease;
};

/** Asks the leader whether the newest revision is in force everywhere. */
export type InForceQuestion = {
	readonly scope: 'distribution';
	readonly type: 'in-force';
};

/** The closed list of messages that spread configuration, leases, members and servers. */
export type DistributionMessage = ExchangeMessage | NewsMessage | ReleaseMessage | InForceQuestion;
