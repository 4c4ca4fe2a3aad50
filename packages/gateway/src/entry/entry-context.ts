import {type Clock, type ServiceId, type RandomSource} from '@valehitch/core';
import {type RetryWindow} from '@valehitch/routing';
import {type RouteTable} from '../configuration/route-table.js';
import {type DecisionLog} from '../logs/decision-log.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';
import {type RunningRollout} from '../rollouts/rollout.js';
import {type ConfigurationLease} from './configuration-lease.js';
import {type Dialect} from './dialect.js';
import {type EntryServers} from './entry-servers.js';
import {type EntrySuspects} from './entry-suspects.js';
import {type EvidenceCounter} from './evidence-counter.js';
import {type LatencyBook} from './latency-book.js';
import {type RepeatBook} from './repeat-book.js';
import {type VersionPins} from './version-pins.js';

/** The bounds of a deployment that the handling of requests keeps. */
export type EntryBounds = {
	/** The share of a service's requests that a version on trial may get. */
	readonly canaryShare: number;
	/** Below this confidence, from 0 to 100, a larger model is asked. */
	readonly leastConfidence: number;
};

/** What the handling of each request works with. */
export type EntryContext = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: DecisionLog;
	readonly metrics: GatewayMetrics;
	readonly dialect: Dialect;
	readonly bounds: EntryBounds;
	readonly lease: ConfigurationLease;
	readonly servers: EntryServers;
	readonly suspects: EntrySuspects;
	readonly budget: RetryWindow;
	readonly latencies: LatencyBook;
	readonly pins: VersionPins;
	readonly repeats: RepeatBook;
	readonly evidence: EvidenceCounter;
	/** The newest configuration; undefined before the first. */
	readonly table: () => RouteTable | undefined;
	/** Waits for news of control, for some milliseconds at the most. */
	readonly nextNews: (timeout: number) => Promise<void>;
	/** Waits until backend servers came or changed, for some milliseconds at the most. */
	readonly nextServers: (timeout: number) => Promise<void>;
	/** The newest roll-out of a service. */
	readonly rolloutOf: (service: ServiceId) => RunningRollout | undefined;
	/** When the instance ends, in milliseconds on the monotonic clock; undefined while no stop has begun. */
	readonly endsAt: () => number | undefined;
};
