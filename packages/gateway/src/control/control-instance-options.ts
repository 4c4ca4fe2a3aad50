import {
	type Clock, type Failure, type InstanceId, type RandomSource,
} from '@valehitch/core';
import {type SuspectRecord} from '@valehitch/routing';
import {type DataFolder} from '@valehitch/storage';
import {type Either} from 'purify-ts';
import {type DecisionLog} from '../logs/decision-log.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';
import {type SavedList} from '../servers/saved-list.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type PeerMessage} from './peer-message.js';

/** What a control instance needs. */
export type ControlInstanceOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: DecisionLog;
	readonly metrics: GatewayMetrics;
	readonly isFounding: boolean;
	/** The control instances that the settings name. */
	readonly seeds: () => readonly InstanceId[];
	/** The time between two announcements of a backend server, in milliseconds. */
	readonly heartbeatMilliseconds: number;
	/** Opens the data folder; asked again after a failure of the disk. */
	readonly openFolder: () => Promise<Either<Failure, DataFolder>>;
	/** Where the backend servers are saved for the next run. */
	readonly savedServers: SavedList<ServerRecord>;
	/** Where the requests that end servers are saved for the next run. */
	readonly savedSuspects: SavedList<SuspectRecord>;
	/** Sends a message that wants no reply. */
	readonly send: (to: InstanceId, message: PeerMessage) => void;
	/** Asks another instance; undefined where no reply came within the timeout in milliseconds. */
	readonly ask: (to: InstanceId, message: PeerMessage, timeout: number) => Promise<unknown>;
	/** Names this run of the process. */
	readonly run: string;
	/** When this process started, in milliseconds on the monotonic clock; a former run acknowledged nothing after that. */
	readonly processStartedAt: number;
};
