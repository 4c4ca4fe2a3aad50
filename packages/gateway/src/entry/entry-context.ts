import {type ServerRelays} from '@valehitch/transport';
import {
	type Clock, type InstanceId, type ServiceId, type RandomSource,
} from '@valehitch/core';
import {
	type AnswerTimes, type DecisionNotes, type HeldMemory, type SecondSendAllowance, type ServerLinks, type WindowedRetryBudget,
} from '@valehitch/routing';
import {type RouteTable} from '../configuration/route-table.js';
import {type ServerNoticeMessage} from '../control/peer-message.js';
import {type DecisionLog} from '../logs/decision-log.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';
import {type RolloutWithAge} from '../rollouts/rollout.js';
import {type ConfigurationLease} from './configuration-lease.js';
import {type Dialect} from './dialect.js';
import {type EntryServers} from './entry-servers.js';
import {type EntrySuspects} from './entry-suspects.js';
import {type EscalationDemand} from './escalation-demand.js';
import {type EvidenceCounter} from './evidence-counter.js';
import {type InstanceStop} from './instance-stop.js';
import {type BrittleRejection} from './known-peers.js';
import {type LatencyEstimator} from './latency-estimator.js';
import {type PoolLoads} from './pool-loads.js';
import {type RepeatTracker} from './repeat-tracker.js';
import {type RequestAdmission} from './request-admission.js';
import {type SendBorrower} from './send-borrower.js';
import {type StateFreshness} from './state-freshness.js';
import {type VersionPins} from './version-pins.js';

/** The limits of a deployment that apply to the handling of requests. */
export type EntryLimits = {
	/** The maximum share of a service's requests that a canary version may receive. */
	readonly canaryShare: number;
	/** The confidence, from 0 to 100, below which a request escalates to a larger model. */
	readonly minimumConfidence: number;
};

/** The state and services shared by the handling of all requests. */
export type EntryContext = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: DecisionLog;
	readonly metrics: GatewayMetrics;
	readonly dialect: Dialect;
	readonly bounds: EntryLimits;
	readonly lease: ConfigurationLease;
	/** How old the state is by which the instance decides. */
	readonly freshness: StateFreshness;
	readonly servers: EntryServers;
	/** What is known of the load of the other entry instances. */
	readonly poolLoads: Pick<PoolLoads, 'picture' | 'recordSample' | 'slownessOf'>;
	readonly links: ServerLinks;
	readonly relays: ServerRelays;
	readonly suspects: EntrySuspects;
	readonly borrower: SendBorrower;
	readonly budget: WindowedRetryBudget;
	/** The allowance for second sends beside servers that work. */
	readonly hedges: SecondSendAllowance;
	/** The times until answers begin, by route and model. */
	readonly answerTimes: AnswerTimes;
	/** The times from dispatch to the end of whole answers, by route, model and lengths. */
	readonly wholeTimes: AnswerTimes;
	/** Holds or rejects requests that compete for busy servers, and tells how much work it holds. */
	readonly admission: Pick<RequestAdmission, 'admit' | 'heldWork' | 'retryAfter'>;
	readonly latencies: LatencyEstimator;
	readonly escalations: EscalationDemand;
	readonly pins: VersionPins;
	readonly repeats: RepeatTracker;
	readonly evidence: EvidenceCounter;
	/** What the instance holds for its requests. */
	readonly memory: HeldMemory;
	/** Why requests went where they went. */
	readonly notes: DecisionNotes;
	/** Returns the current configuration; undefined until the first one is received. */
	readonly table: () => RouteTable | undefined;
	/** Waits for a number of milliseconds. */
	readonly wait: (milliseconds: number) => Promise<void>;
	/** Waits for the next reply of a control instance, up to a timeout in milliseconds. */
	readonly nextReply: (timeout: number) => Promise<void>;
	/** Waits until backend servers are added or change, up to a timeout in milliseconds. */
	readonly nextServerChange: (timeout: number) => Promise<void>;
	/** Returns the latest rollout of a service. */
	readonly rolloutOf: (service: ServiceId) => RolloutWithAge | undefined;
	/** Reports a rate limit that a server has named to the control instances at once. */
	readonly reportLimit: () => void;
	/** Passes what a server said on to the instance through which its answer came. */
	readonly tellRelay: (relay: InstanceId, message: ServerNoticeMessage) => void;
	/** Tells other instances that a brittle server rejected a request; returns for how long this one leaves it alone, in milliseconds. */
	readonly tellRejection: (rejection: BrittleRejection) => number;
	/** The stop of the instance. */
	readonly stop: Pick<InstanceStop, 'endsAt' | 'answersDueAt' | 'closesConnection' | 'watch'>;
};
