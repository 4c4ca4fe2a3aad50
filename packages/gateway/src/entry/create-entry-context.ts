import {type SuspensionDetector} from '@valehitch/core';
import {type StepNotifier} from '@valehitch/replication';
import {
	AnswerTimes, DecisionNotes, HeldMemory, SecondSendAllowance, WindowedRetryBudget,
} from '@valehitch/routing';
import {type RouteTable} from '../configuration/route-table.js';
import {type KnownRollouts} from '../rollouts/known-rollouts.js';
import {checkServerProcess} from './check-server-process.js';
import {ConfigurationLease} from './configuration-lease.js';
import {closeIdleConnections} from './connection-pool.js';
import {createServerLinks} from './create-server-links.js';
import {createServerRelays} from './create-server-relays.js';
import {type EntryContext} from './entry-context.js';
import {type EntryInstanceOptions} from './entry-instance-options.js';
import {EntryServers} from './entry-servers.js';
import {EntrySuspects} from './entry-suspects.js';
import {EscalationDemand} from './escalation-demand.js';
import {EvidenceCounter} from './evidence-counter.js';
import {type KnownPeers} from './known-peers.js';
import {LatencyEstimator} from './latency-estimator.js';
import {poolContention} from './pool-contention.js';
import {type PoolLoads} from './pool-loads.js';
import {RepeatTracker} from './repeat-tracker.js';
import {RequestAdmission} from './request-admission.js';
import {SendBorrower} from './send-borrower.js';
import {StateFreshness} from './state-freshness.js';
import {SuspectReporter} from './suspect-reporter.js';
import {VersionPins} from './version-pins.js';

/** The parts of an entry instance that the handling of requests shares with the rest of it. */
export type EntryContextParts = {
	readonly suspension: SuspensionDetector;
	readonly peers: KnownPeers;
	readonly poolLoads: PoolLoads;
	readonly rollouts: Pick<KnownRollouts, 'forService'>;
	/** Notified of each reply of a control instance. */
	readonly replyWaiters: StepNotifier;
	/** Notified of each change of backend servers. */
	readonly serverWaiters: StepNotifier;
	/** Returns the current configuration; undefined until the first one is received. */
	readonly table: () => RouteTable | undefined;
	/** The stop of the instance. */
	readonly stop: EntryContext['stop'];
	/** Asks the control instances to confirm the state at once. */
	readonly confirmState: () => void;
};

/** What {@linkcode createEntryContext} creates. */
export type CreatedEntryContext = {
	readonly context: EntryContext;
	/** Reports the suspects of the context to the control instances. */
	readonly reporter: SuspectReporter;
};

/** The retries that an instance may make in a time window without traffic. The platform allows each instance of its deployments between two and eight. */
const retrySlack = 2;

/** How long the time of a whole answer counts at most, in milliseconds; short, since servers that were busy may be idle soon after. */
const wholeTimesMilliseconds = 20_000;

/**
Creates the state and the services that the handling of all requests shares.

@param options The options of the instance.
@param parts The parts that are shared with the rest of it.
@returns The context, and the reporter of its suspects.
@example
```ts
const {context, reporter} = createEntryContext(options, parts);
```
*/
export function createEntryContext(options: EntryInstanceOptions, parts: EntryContextParts): CreatedEntryContext {
	const {clock, random, zone, self, run} = options;
	const {suspension, peers, poolLoads, rollouts, replyWaiters, serverWaiters, table, stop, confirmState} = parts;
	const notes = new DecisionNotes({sampledShare: options.notedShare});
	const servers = new EntryServers({
		zone,
		random,
		notes,
		loads: poolLoads,
		placesOf: server => peers.placesOf(server),
		coldDurationOf: service => table()?.findService(service)?.cold?.duration,
		hasPrompts: service => table()?.routesWithModels(service).length !== 0,
		heartbeatMilliseconds: options.heartbeatMilliseconds,
		onReplaced: closeIdleConnections,
		onOutdated({id, state}, {held, source}) {
			options.metrics.outdatedRecords.inc();
			options.log('server-record-outdated', {
				server: id, told: state, held: held.state, source,
			});
		},
	});
	const suspects = new EntrySuspects({
		...options,
		servers,
		checkProcess: async server => checkServerProcess(server, {...context, links: context.links.of(server.service)}),
		onChanged(fingerprint) {
			reporter.report(fingerprint);
		},
	});
	const reporter = new SuspectReporter({registry: suspects.registry, send: options.reportSuspects});
	const nextReply = async (timeout: number): Promise<void> => Promise.race([replyWaiters.waitForNext(), options.wait(timeout)]);
	const lease = new ConfigurationLease({
		duration: options.leaseMilliseconds,
		finalRefusalDuration: options.freshness.configuration,
		suspension,
		onSuspension: confirmState,
	});
	const context: EntryContext = {
		...options,
		lease,
		freshness: new StateFreshness({
			clock,
			suspension,
			limits: options.freshness,
			lease,
			confirmState,
			nextReply,
			onStale({configuration, servers: serversAge}) {
				options.metrics.outdatedStates.inc();
				options.log('state-outdated', {configurationAge: Math.round(configuration), serversAge: Math.round(serversAge), configuration: table()?.version}, 'warn');
			},
		}),
		servers,
		poolLoads,
		links: createServerLinks(options, {
			servers,
			relayCount: () => context.relays.candidateCount,
			onCutOff: confirmState,
		}),
		relays: createServerRelays(options, peers),
		suspects,
		borrower: new SendBorrower({
			clock,
			random,
			rates: servers.limits.rates,
			peers: () => peers.ids,
			exhaustedServers: service => servers.availability.exhausted(service, clock.monotonic()),
			ask: options.askForSends,
			onBorrowed(count) {
				options.metrics.borrowedSends.inc(count);
			},
		}),
		budget: new WindowedRetryBudget({ratio: options.retryShare, minimumPerWindow: retrySlack, windowMilliseconds: options.retryWindowMilliseconds}),
		hedges: new SecondSendAllowance(),
		answerTimes: new AnswerTimes(),
		wholeTimes: new AnswerTimes({windowMilliseconds: wholeTimesMilliseconds}),
		admission: new RequestAdmission({
			...options,
			notes,
			availability: servers.availability,
			picture: () => poolLoads.picture(),
			table,
			endsAt: () => stop.endsAt,
		}),
		latencies: new LatencyEstimator(clock),
		escalations: new EscalationDemand({
			contentionAt: service => poolContention(service, {picture: poolLoads.picture(), table: table(), availability: servers.availability}),
		}),
		pins: new VersionPins(options),
		repeats: new RepeatTracker(),
		evidence: new EvidenceCounter({entry: self, run, clock}),
		notes,
		memory: new HeldMemory({totalBytes: options.heldBytes}),
		table,
		nextReply,
		nextServerChange: async timeout => Promise.race([serverWaiters.waitForNext(), options.wait(timeout)]),
		rolloutOf: service => rollouts.forService(service),
		stop,
		tellRelay: options.send,
		tellRejection: rejection => peers.tellRejection(rejection),
		reportLimit: confirmState,
	};
	return {context, reporter};
}
