import {
	type Clock, type Failure, type InstanceId, type RandomSource, type ZoneId,
} from '@valehitch/core';
import {type SuspectRecord} from '@valehitch/routing';
import {type DataFolder} from '@valehitch/storage';
import {type Either} from 'purify-ts';
import {type DecisionLog} from '../logs/decision-log.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';
import {type SavedList} from '../servers/saved-list.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type ColdLimitsOptions, type ColdTolerance} from './cold-limits.js';
import {type PeerMessage} from './peer-message.js';

/** Options of a control instance. */
export type ControlInstanceOptions = {
	readonly self: InstanceId;
	readonly zone: ZoneId;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: DecisionLog;
	readonly metrics: GatewayMetrics;
	readonly isFounding: boolean;
	/** The control instances listed in the settings. */
	readonly seeds: () => readonly InstanceId[];
	/** The interval between announcements of a backend server, in milliseconds. */
	readonly heartbeatMilliseconds: number;
	/** How many control instances may lose their disks at the same time. */
	readonly toleratedLosses: number;
	/** The availability zones of the deployment. */
	readonly zones: () => readonly ZoneId[];
	/** How far the rate of a cold server may exceed the one that its service configures. */
	readonly coldTolerance: ColdTolerance;
	/** Parses a configuration document. */
	readonly parse: ColdLimitsOptions['parse'];
	/** Opens the data folder; called again after a disk failure. */
	readonly openFolder: () => Promise<Either<Failure, DataFolder>>;
	/** Stores the backend servers for the next run. */
	readonly savedServers: SavedList<ServerRecord>;
	/** Stores the requests suspected of crashing servers for the next run. */
	readonly savedSuspects: SavedList<SuspectRecord>;
	/** Sends a message without waiting for a reply. */
	readonly send: (to: InstanceId, message: PeerMessage) => void;
	/** Sends a request to another instance; resolves to `undefined` if no reply arrives within the timeout in milliseconds. */
	readonly ask: (to: InstanceId, message: PeerMessage, timeout: number) => Promise<unknown>;
	/** Identifies this run of the process. */
	readonly run: string;
	/** When this process started, in milliseconds on the monotonic clock; a previous run acknowledged nothing after this time. */
	readonly processStartedAt: number;
};
