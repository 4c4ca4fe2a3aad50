import {
	type Clock, type Failure, type InstanceId, type RandomSource, type ZoneId,
} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type RoutingConfiguration} from '../configuration/routing-configuration.js';
import {
	type LoadMessage, type SuspectsMessage, type WatchMessage, type WatchReply,
} from '../control/peer-message.js';
import {type DecisionLog} from '../logs/decision-log.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';
import {type Dialect} from './dialect.js';
import {type EntryBounds} from './entry-context.js';

/** Where the instance listens. */
export type ListenAddress = {
	readonly host: string;
	readonly port: number;
};

/** What an entry instance needs. */
export type EntryInstanceOptions = {
	readonly self: InstanceId;
	readonly zone: ZoneId;
	readonly listen: ListenAddress;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: DecisionLog;
	readonly metrics: GatewayMetrics;
	readonly dialect: Dialect;
	readonly bounds: EntryBounds;
	/** How long a confirmation of the configuration counts, in milliseconds. */
	readonly leaseMilliseconds: number;
	/** The time without a request after which a session has ended, in milliseconds. */
	readonly sessionMilliseconds: number;
	/** The further sends for each request, over all instances alike. */
	readonly retryShare: number;
	/** The time over which further sends are a share of the requests, in milliseconds. */
	readonly retryWindowMilliseconds: number;
	/** Names this run of the process. */
	readonly run: string;
	/** The control instances that the settings name. */
	readonly seeds: () => readonly InstanceId[];
	readonly ask: (to: InstanceId, message: WatchMessage, timeout: number) => Promise<WatchReply | undefined>;
	/** Sends a message that wants no reply. */
	readonly send: (to: InstanceId, message: LoadMessage) => void;
	/** Tells a control instance; whether it said that it has it within the timeout in milliseconds. */
	readonly tell: (to: InstanceId, message: SuspectsMessage, timeout: number) => Promise<boolean>;
	readonly wait: (milliseconds: number) => Promise<void>;
	/** Reads a configuration as the operator wrote it. */
	readonly parse: (document: string) => Either<Failure, RoutingConfiguration>;
};
