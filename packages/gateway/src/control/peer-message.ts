import {type ReplicaId, type ReplicaSet} from '@valehitch/consensus';
import {
	type Failure, type InstanceId, type ServerId, type ZoneId,
} from '@valehitch/core';
import {type ReplicaWire} from '@valehitch/replication';
import {type SuspectRecord} from '@valehitch/routing';
import {type RunningRollout} from '../rollouts/rollout.js';
import {type VersionEvidence} from '../rollouts/version-evidence.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type GatewayAnswer, type GatewayCommand} from './gateway-command.js';
import {type ConfigurationDocument} from './gateway-state.js';

/** A message between two replicas; one to a former identity of an instance is dropped. */
export type ReplicaEnvelope = {
	readonly type: 'replica';
	readonly from: ReplicaId;
	readonly to: ReplicaId;
	readonly message: ReplicaWire;
};

/** A replica without a vote asks to be taken in. */
export type JoinMessage = {
	readonly type: 'join';
	readonly replica: ReplicaId;
	/** Whether the whole system starts for the first time, as the settings say. */
	readonly isFounding: boolean;
};

/** What the asked instance says of itself. */
export type JoinReply = {
	readonly replica: ReplicaId;
	/** Whether it never belonged to a group. */
	readonly isEmpty: boolean;
	/** The replicas that the group began with, while its log holds nothing else. */
	readonly initial: ReplicaSet | undefined;
	/** The hosts of the control instances that it knows. */
	readonly hosts: readonly string[];
};

/** Asks the leader which index was committed, and brings what entry instances counted. */
export type ConfirmMessage = {
	readonly type: 'confirm';
	readonly evidence: readonly VersionEvidence[];
};

/** What the leader says; nothing where the asked instance does not lead. */
export type ConfirmReply = {
	/** The newest committed index at the time of the question; undefined without a valid lease. */
	readonly index: number | undefined;
};

/** Asks the leader to have a command committed. */
export type ProposeMessage = {
	readonly type: 'propose';
	readonly command: GatewayCommand;
};

/** The result of a command. */
export type ProposeReply
	= | {readonly type: 'answer'; readonly answer: GatewayAnswer}
		| {readonly type: 'failure'; readonly failed: Failure};

/** Brings news of backend servers from one control instance to another. */
export type ServersMessage = {
	readonly type: 'servers';
	/** Those that changed, or that were heard directly of late. */
	readonly records: readonly ServerRecord[];
};

/** All backend servers that a control instance has. */
export type AllServersReply = ServersMessage & {
	/** How long it has listened to servers, in milliseconds. */
	readonly listenedFor: number;
};

/** Says that news of backend servers were taken. */
export type ServersReply = {
	/** Names the run of the process that took them. */
	readonly run: string;
};

/** Tells that a backend server ended, whether or not the asked instance knows it. */
export type ServerEndedMessage = {
	readonly type: 'server-ended';
	readonly server: ServerId;
};

/** Asks a control instance for all backend servers. */
export type AllServersMessage = {
	readonly type: 'all-servers';
};

/** Tells what is known of requests under which backend servers ended. */
export type SuspectsMessage = {
	readonly type: 'suspects';
	readonly records: readonly SuspectRecord[];
	/** Whether a control instance passes it on, so that it goes no further. */
	readonly isRelayed: boolean;
};

/** Asks a control instance for all such requests that concern others. */
export type AllSuspectsMessage = {
	readonly type: 'all-suspects';
};

/** An entry instance asks for news, and brings what it counted. */
export type WatchMessage = {
	readonly type: 'watch';
	/** Whether it is answered at once, also where there is no news. */
	readonly isUrgent: boolean;
	/** The asker's availability zone. */
	readonly zone: ZoneId;
	/** The version of the configuration that the asker has; undefined for none. */
	readonly configurationVersion: number | undefined;
	/** Names the run of the control instance that `cursor` belongs to; empty for none. */
	readonly run: string;
	/** The last change of the directory that the asker has. */
	readonly cursor: number;
	/** The last change of the requests that end servers that the asker has. */
	readonly suspectCursor: number;
	/** The digest of the roll-outs that the asker has. */
	readonly rolloutDigest: string;
	readonly evidence: readonly VersionEvidence[];
};

/** The news. */
export type WatchReply = {
	readonly run: string;
	readonly cursor: number;
	readonly records: readonly ServerRecord[];
	readonly suspectCursor: number;
	/** The requests that end servers of which something is new. */
	readonly suspects: readonly SuspectRecord[];
	readonly configuration: ConfigurationDocument | undefined;
	readonly rollouts: readonly RunningRollout[];
	readonly rolloutDigest: string;
	/** Milliseconds that the question was kept waiting. */
	readonly held: number;
	/** Milliseconds since the state was last known to be the newest; undefined where it never was in this run. */
	readonly confirmedAgo: number | undefined;
	/** The hosts of the control instances. */
	readonly hosts: readonly string[];
	/** The entry instances with which the asker shares its loads. */
	readonly entries: readonly InstanceId[];
};

/** An entry instance tells others how much work it has at which server. */
export type LoadMessage = {
	readonly type: 'load';
	readonly loads: ReadonlyArray<readonly [server: ServerId, load: number]>;
};

/** The closed list of messages between the instances of a gateway. */
export type PeerMessage
	= ReplicaEnvelope | JoinMessage | ConfirmMessage | ProposeMessage
		| ServersMessage | ServerEndedMessage | AllServersMessage | SuspectsMessage | AllSuspectsMessage
		| WatchMessage | LoadMessage;
