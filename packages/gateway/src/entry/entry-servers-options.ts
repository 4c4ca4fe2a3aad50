import {
	type InstanceId, type RandomSource, type ServerId, type ServiceId, type ZoneId,
} from '@valehitch/core';
import {type DecisionNotes, type PoolPicture, type SpeedSample} from '@valehitch/routing';
import {type ServerRecord} from '../servers/server-record.js';
import {type LoadExchange} from './load-exchange.js';

/** The speeds of servers as all entry instances observe them; without them, servers count by their slots. */
export type SpeedReports = {
	/** Reports the times to a first event to the other entry instances. */
	readonly recordSample?: (server: ServerId, sample: SpeedSample) => void;
	/** Returns the observed over the expected times to the first event; undefined if they are not known now. */
	readonly slownessOf?: (server: ServerId) => number | undefined;
	/** Whether the work of all entry instances is known, so that load counts by the prompts that wait; false by default. */
	readonly usesDigest?: boolean;
	/** Returns the work of all entry instances at a server. */
	readonly workAt?: PoolPicture['workAt'];
	/** The age of the loads of other instances, in milliseconds; 0 by default. */
	readonly othersAge?: number;
};

/** Options of {@linkcode EntryServers}. */
export type EntryServersOptions = {
	readonly zone: ZoneId;
	readonly random: RandomSource;
	/** Returns how long the servers of a service are cold after their start, in milliseconds; undefined if they tolerate as many requests as otherwise. */
	readonly coldDurationOf?: (service: ServiceId) => number | undefined;
	/** Returns whether requests with a prompt are sent to a service, whose load then counts by the prompts that wait where a digest is in use; by default they are. */
	readonly hasPrompts?: (service: ServiceId) => boolean;
	/** Returns how many places of a brittle server this instance may use; by default all of them. */
	readonly placesOf?: (server: ServerRecord) => number;
	/** The interval between announcements of a server, in milliseconds; 0 by default. */
	readonly heartbeatMilliseconds?: number;
	/** When this process started, in milliseconds on the monotonic clock; 0 by default, the origin of that clock. */
	readonly startedAt?: number;
	/** Where choices of servers are noted; by default, they are not. */
	readonly notes?: DecisionNotes | undefined;
	/** The loads of the other entry instances at each server. */
	readonly loads: Pick<LoadExchange, 'peerLoadAt' | 'recordChange' | 'discardServer'> & SpeedReports;
	/** Called when a control instance sends a record that is older than the known state of the process. */
	readonly onOutdated?: (record: ServerRecord, options: {readonly held: ServerRecord; readonly source: InstanceId}) => void;
	/** Called when a process is replaced by another one with the same address or id. */
	readonly onReplaced: (record: ServerRecord) => void;
};

/** Options for applying records of a control instance. */
export type ApplyRecordsOptions = {
	/** The control instance that sent the records. */
	readonly source: InstanceId;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** Whether the records are the full state of the control instance, which replaces its earlier reports; false by default. */
	readonly isFullState?: boolean;
};

/** A send to a server. */
export type BeginSendOptions = {
	/** The load of the request until its answer starts, in units of a short request. */
	readonly load: number;
	/** The time that a server of mean speed takes to process the prompt, in milliseconds; by default that of the load. */
	readonly reading?: number | undefined;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

/** The result of a send to a server; `ended` if its process ended in the meantime, `silent` if it sends and accepts nothing, though it may go on. */
export type SendResult = 'answered' | 'failed' | 'unreachable' | 'silent' | 'ended' | 'gone';
