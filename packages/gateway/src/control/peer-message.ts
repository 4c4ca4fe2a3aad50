import {type ReplicaId, type ReplicaSet} from '@valehitch/consensus';
import {
	type Failure, type InstanceId, type ServerId, type ZoneId,
} from '@valehitch/core';
import {type EncodedReplicaMessage} from '@valehitch/replication';
import {type AgedWork, type SuspectRecord, type WorkPart} from '@valehitch/routing';
import {type RolloutWithAge} from '../rollouts/rollout.js';
import {type VersionEvidence} from '../rollouts/version-evidence.js';
import {type EncodedConfiguration} from '../configuration/encode-configuration.js';
import {type Evacuations} from '../servers/evacuations.js';
import {type SentServerLimit} from '../servers/server-limits.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type GatewayCommandResult, type GatewayCommand} from './gateway-command.js';
import {type ConfigurationDocument} from './gateway-state.js';

/** A message between two replicas; dropped if it is addressed to a former identity of an instance. */
export type ReplicaEnvelope = {
	readonly type: 'replica';
	readonly from: ReplicaId;
	readonly to: ReplicaId;
	readonly message: EncodedReplicaMessage;
};

/** A replica that is not a voter requests to join the group. */
export type JoinMessage = {
	readonly type: 'join';
	readonly replica: ReplicaId;
	/** Whether the settings say that the whole system starts for the first time. */
	readonly isFounding: boolean;
};

/** The reply to a join request: the state of the instance that received it. */
export type JoinReply = {
	readonly replica: ReplicaId;
	/** Whether the replica has never belonged to a group. */
	readonly isEmpty: boolean;
	/** Whether the instance started as part of the first start of the whole system; absent in earlier versions, where all initial members count as such. */
	readonly isFounding?: boolean;
	/** The replica set with which the group was bootstrapped, until its log is first compacted. */
	readonly initial: ReplicaSet | undefined;
	/** The hosts of the control instances known to the replica. */
	readonly hosts: readonly string[];
};

/** Requests the commit index from the leader, and delivers the counters of entry instances. */
export type ConfirmMessage = {
	readonly type: 'confirm';
	readonly evidence: readonly VersionEvidence[];
	/** The newest format of commands that the sender reads; absent in versions before evacuations. */
	readonly commandFormat?: number;
};

/** The leader's reply to a confirmation request. */
export type ConfirmReply = {
	/** The commit index when the request was received, or `undefined` if the instance holds no valid leader lease. */
	readonly index: number | undefined;
	/** The newest format of commands that the leader reads; absent in versions before evacuations. */
	readonly commandFormat?: number;
};

/** Requests that the leader commit a command. */
export type ProposeMessage = {
	readonly type: 'propose';
	readonly command: GatewayCommand;
};

/** The result of a proposed command. */
export type ProposeReply
	= | {readonly type: 'answer'; readonly answer: GatewayCommandResult}
		| {readonly type: 'failure'; readonly failed: Failure};

/** Sends records of backend servers from one control instance to another. */
export type ServersMessage = {
	readonly type: 'servers';
	/** The records that changed, and those of servers that recently announced themselves to the sender. */
	readonly records: readonly ServerRecord[];
	/** Further records, encoded by `encodeServerRows`; sent only to instances that read them. */
	readonly serverRows?: Uint8Array | undefined;
	/** Whether the sender reads `work-summary` messages; absent in versions before them. */
	readonly takesWorkSummaries?: true;
};

/** All backend servers known to a control instance. */
export type AllServersReply = ServersMessage & {
	/** How long the instance has been receiving announcements, in milliseconds. */
	readonly listenedFor: number;
};

/** Acknowledges records of backend servers. */
export type ServersReply = {
	/** Identifies the run of the process that received the records. */
	readonly run: string;
	/** Whether the process reads `work-summary` messages; absent in versions before them. */
	readonly takesWorkSummaries?: true;
	/** Whether the process reads `serverRows`; absent in versions before them. */
	readonly takesServerRows?: true;
};

/** Reports that a backend server has stopped, even if the receiver has no record of the server. */
export type ServerEndedMessage = {
	readonly type: 'server-ended';
	readonly server: ServerId;
};

/** Requests all backend servers known to a control instance. */
export type AllServersMessage = {
	readonly type: 'all-servers';
};

/** Reports requests during which backend servers crashed. */
export type SuspectsMessage = {
	readonly type: 'suspects';
	readonly records: readonly SuspectRecord[];
	/** Whether the message was relayed by a control instance; a relayed message is not relayed again. */
	readonly isRelayed: boolean;
};

/** Requests all suspect records that a control instance shares with others. */
export type AllSuspectsMessage = {
	readonly type: 'all-suspects';
};

/** A long poll by which an entry instance requests updates and delivers its counters. */
export type WatchMessage = {
	readonly type: 'watch';
	/** Whether the poll is answered immediately even if there is no update. */
	readonly isUrgent: boolean;
	/** The availability zone of the entry instance. */
	readonly zone: ZoneId;
	/** The version of the entry instance's configuration, or `undefined` if it has none. */
	readonly configurationVersion: number | undefined;
	/** Identifies the run of the control instance to which the cursors belong; empty if there was none. */
	readonly run: string;
	/** The last change of the server directory that the entry instance has received. */
	readonly cursor: number;
	/** The last change of the suspect records that the entry instance has received. */
	readonly suspectCursor: number;
	/** The digest of the rollouts that the entry instance has received. */
	readonly rolloutDigest: string;
	/** The revision of the evacuations that the entry instance has; absent in versions before evacuations. */
	readonly evacuationRevision?: number;
	readonly evidence: readonly VersionEvidence[];
	/** The last change of the servers' rate limits that the entry instance has received; absent in versions before them. */
	readonly limitCursor?: number;
	/** The rate limits that the entry instance itself has heard, and their recent ends; absent in versions before them. */
	readonly serverLimits?: readonly SentServerLimit[];
	/** Whether the entry instance reaches no server of some service by its own links; absent in versions before relays of all zones. */
	readonly isCutOff?: boolean;
	/** The revision of the relays that the entry instance has received; absent in versions before relays of all zones. */
	readonly relayRevision?: number | undefined;
	/** Whether the entry instance reads `serverRows`; absent in versions before them. */
	readonly takesServerRows?: true;
	/** Whether the entry instance reads `encodedConfiguration`; absent in versions before it. */
	readonly takesEncodedConfiguration?: true;
};

/** The reply to a poll: everything that changed since the state named in the request. */
export type WatchReply = {
	readonly run: string;
	readonly cursor: number;
	readonly records: readonly ServerRecord[];
	/** Further servers, which `records` override, encoded by `encodeServerRows`; sent only to instances that read them, and only if the state is a full one. */
	readonly serverRows?: Uint8Array;
	readonly suspectCursor: number;
	/** The suspect records that changed. */
	readonly suspects: readonly SuspectRecord[];
	/** The whole newest configuration, unless the requester has it or reads `encodedConfiguration`. */
	readonly configuration: ConfigurationDocument | undefined;
	/** The newest configuration, unless the requester has it; sent only to instances that read it. */
	readonly encodedConfiguration?: EncodedConfiguration | undefined;
	readonly rollouts: readonly RolloutWithAge[];
	readonly rolloutDigest: string;
	/** The evacuations of availability zones; absent in versions before them. */
	readonly evacuations?: Evacuations;
	/** The sends per second that the entry instance may make to each cold server where it may make any, for `rateLeaseMilliseconds` after the reply; absent in versions before rate leases. */
	readonly rateLeases?: ReadonlyArray<readonly [server: ServerId, permits: number, window?: number]>;
	/** The last change of the servers' rate limits; absent in versions before them. */
	readonly limitCursor?: number;
	/** The rate limits that servers have named, and their recent ends, unless the requester has them; absent in versions before them. */
	readonly serverLimits?: readonly SentServerLimit[];
	/** The sends per window that the entry instance may make to each server that has named a rate limit, with the window in milliseconds, for `rateLeaseMilliseconds` after the reply; absent in versions before them. */
	readonly limitLeases?: ReadonlyArray<readonly [server: ServerId, permits: number, window: number]>;
	/** How long the poll was held before it was answered, in milliseconds. */
	readonly held: number;
	/** The time since the state was last confirmed to be current, in milliseconds, or `undefined` if it has not been confirmed in this run. */
	readonly confirmedAgo: number | undefined;
	/** The hosts of the control instances. */
	readonly hosts: readonly string[];
	/** The number of entry instances that polled recently; absent in versions before brittle servers. */
	readonly entryCount?: number;
	/** The entry instances with which the requester shares its load. */
	readonly entries: readonly InstanceId[];
	/** The revision of the relays; absent in versions before relays of all zones. */
	readonly relayRevision?: number;
	/** The entry instances through which the requester can reach servers, unless it has them. */
	readonly relays?: readonly InstanceId[] | undefined;
	/** Those of the relays that reach no server of some service themselves; absent if there is none, and in versions before the order of relays. */
	readonly cutOffRelays?: readonly InstanceId[] | undefined;
	/** The availability zone of the control instance; absent in versions before reports of work. */
	readonly zone?: ZoneId;
	/** Whether the control instance reads `work-report` messages; absent in versions before them. */
	readonly takesWorkReports?: true;
};

/** Reports all work of an entry instance at backend servers to a control instance, which replies with that of all others. */
export type WorkReportMessage = Omit<WorkPart, 'entries' | 'age'> & {
	readonly type: 'work-report';
};

/** The reply to a report of work: the work of all other entry instances, and its mean age in milliseconds. */
export type WorkReply = Omit<AgedWork, 'entries'>;

/** Sends the work of the entry instances that report to a control instance to another one. */
export type WorkSummaryMessage = WorkPart & {
	readonly type: 'work-summary';
};

/** Reports the load that an entry instance has placed on each server. */
export type LoadMessage = {
	readonly type: 'load';
	readonly loads: ReadonlyArray<readonly [server: ServerId, load: number]>;
};

/** Passes on what a backend server said of itself in an answer that came through the receiver, or that it rejected a request and is full for the receiver too. */
export type ServerNoticeMessage = {
	readonly type: 'server-notice';
	readonly server: ServerId;
	/** Whether the server announced its shutdown. */
	readonly isDraining: boolean;
	/** The time for which it should get no requests, in milliseconds; undefined for none. */
	readonly pause: number | undefined;
};

/** Tells an entry instance that has connections to servers open through the sender that the sender shuts down. */
export type RelayStoppingMessage = {
	readonly type: 'relay-stopping';
};

/** Asks another entry instance for sends to servers with rate limits that it does not need. */
export type BorrowMessage = {
	readonly type: 'borrow-sends';
	readonly servers: readonly ServerId[];
	/** The number of sends that are needed, to any of the servers. */
	readonly count: number;
};

/** The reply to a request for sends: their number at each server. */
export type BorrowReply = {
	readonly sends: ReadonlyArray<readonly [server: ServerId, count: number]>;
};

/** The messages that entry instances send to each other. */
export type EntryMessage = LoadMessage | ServerNoticeMessage | BorrowMessage | RelayStoppingMessage;

/** The messages exchanged by the instances of a gateway. */
export type PeerMessage
	= ReplicaEnvelope | JoinMessage | ConfirmMessage | ProposeMessage
		| ServersMessage | ServerEndedMessage | AllServersMessage | SuspectsMessage | AllSuspectsMessage
		| WatchMessage | WorkReportMessage | WorkSummaryMessage | EntryMessage;
