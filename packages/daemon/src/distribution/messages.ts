import {type InstanceId, type Revision} from '@valehitch/core';
import {
	type DigestMessage, type LeaseGrant, type LeaseRequest, type LeaseRelease, type LoadRecord, type MemberRecord, type ServerRecord,
} from '@valehitch/membership';
import {type ExchangeTuple} from './exchange-codec.js';

/** A record of the digest of members and servers. */
export type SharedRecord
	= | {readonly kind: 'member'; readonly member: MemberRecord}
		| {readonly kind: 'server'; readonly server: ServerRecord};

/** The parts that both sides of an exchange send. */
export type ExchangeParts = {
	/** The newest revision of the sender. */
	readonly revision: Revision;
	/** The sender's compressed configuration, if the receiver has an older one. */
	readonly configuration?: Uint8Array | undefined;
	readonly records: DigestMessage<SharedRecord>;
	/** The loads of backend servers; included only at longer intervals. */
	readonly loads?: DigestMessage<LoadRecord> | undefined;
};

/** Requests a lease from a parent and reports the updates of the sender's subtree. */
export type Exchange = ExchangeParts & {
	readonly question: LeaseRequest;
};

/** Carries an exchange; the reply is a `ReplyTuple`. */
export type ExchangeMessage = {
	readonly scope: 'distribution';
	readonly type: 'exchange';
	readonly body: ExchangeTuple;
};

/** The reply of a parent to an exchange. */
export type ExchangeReply = ExchangeParts & {
	/** The lease, if the parent has a valid one. */
	readonly grant?: LeaseGrant | undefined;
	/** The leader, if known to the parent. */
	readonly leader?: InstanceId | undefined;
};

/** Notifies a child of updates, so that it starts an exchange at once. */
export type UpdateNotification = {
	readonly scope: 'distribution';
	readonly type: 'news';
};

/** Informs a former parent that another one covers the confirmations it counted; sent once per change of parent. */
export type ReleaseMessage = {
	readonly scope: 'distribution';
	readonly type: 'release';
	readonly body: LeaseRelease;
};

/** Asks the leader whether the newest revision is in force on all instances. */
export type InForceQuery = {
	readonly scope: 'distribution';
	readonly type: 'in-force';
};

/** All messages that distribute the configuration, leases, members and servers. */
export type DistributionMessage = ExchangeMessage | UpdateNotification | ReleaseMessage | InForceQuery;
