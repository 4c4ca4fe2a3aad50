import {type OpenRelayTunnel} from '@valehitch/transport';
import {
	type Clock, type Failure, type InstanceId, type RandomSource, type ZoneId,
} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type RoutingConfiguration} from '../configuration/routing-configuration.js';
import {
	type BorrowMessage, type BorrowReply, type EntryMessage, type SuspectsMessage, type WatchMessage, type WatchReply, type WorkReply, type WorkReportMessage,
} from '../control/peer-message.js';
import {type DecisionLog} from '../logs/decision-log.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';
import {type Dialect} from './dialect.js';
import {type EntryLimits} from './entry-context.js';
import {type FreshnessLimits} from './state-freshness.js';

/** The address to listen on. */
export type ListenAddress = {
	readonly host: string;
	readonly port: number;
};

/** Options of {@linkcode EntryInstance}. */
export type EntryInstanceOptions = {
	readonly self: InstanceId;
	readonly zone: ZoneId;
	readonly listen: ListenAddress;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: DecisionLog;
	readonly metrics: GatewayMetrics;
	readonly dialect: Dialect;
	readonly bounds: EntryLimits;
	/** How long a confirmation of the configuration is valid, in milliseconds. */
	readonly leaseMilliseconds: number;
	/** For how long the instance goes by what control instances have told it without asking again. */
	readonly freshness: FreshnessLimits;
	/** The idle time after which a session ends, in milliseconds. */
	readonly sessionMilliseconds: number;
	/** The interval between announcements of a backend server, in milliseconds. */
	readonly heartbeatMilliseconds: number;
	/** The retry budget, as a ratio of retries to requests; the same on all instances. */
	readonly retryShare: number;
	/** The time window over which the retry budget applies, in milliseconds. */
	readonly retryWindowMilliseconds: number;
	/** Identifies this run of the process. */
	readonly run: string;
	/** Returns the control instances listed in the settings. */
	readonly seeds: () => readonly InstanceId[];
	/** Sends a watch request to a control instance; resolves to undefined if no reply arrived within the timeout in milliseconds. */
	readonly ask: (to: InstanceId, message: WatchMessage, timeout: number) => Promise<WatchReply | undefined>;
	/** Sends a message without waiting for a reply. */
	readonly send: (to: InstanceId, message: EntryMessage) => void;
	/** Reports suspects to a control instance; resolves to whether it acknowledged them within the timeout in milliseconds. */
	readonly reportSuspects: (to: InstanceId, message: SuspectsMessage, timeout: number) => Promise<boolean>;
	/** Asks another entry instance for sends; resolves to undefined if it does not reply within the timeout in milliseconds. */
	readonly askForSends: (to: InstanceId, message: BorrowMessage, timeout: number) => Promise<BorrowReply | undefined>;
	/** Reports work to a control instance; resolves to undefined if it does not reply within the timeout in milliseconds. */
	readonly reportWork: (to: InstanceId, message: WorkReportMessage, timeout: number) => Promise<WorkReply | undefined>;
	/** Opens a connection to a backend server through another entry instance. */
	readonly openTunnel: OpenRelayTunnel;
	readonly wait: (milliseconds: number) => Promise<void>;
	/** The bytes that the instance may hold for its requests; undefined for no limit. */
	readonly heldBytes: number | undefined;
	/** The share of the sends for which it is noted why they went where they went, from 0 to 1. */
	readonly notedShare: number;
	/** Parses a configuration document. */
	readonly parse: (document: string) => Either<Failure, RoutingConfiguration>;
};
