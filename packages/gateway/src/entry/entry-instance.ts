import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type InstanceId, SuspensionDetector} from '@valehitch/core';
import {StepNotifier} from '@valehitch/replication';
import {abortResponse, whenResponseCloses} from '@valehitch/transport';
import {
	DecisionNotes, HeldMemory, WindowedRetryBudget,
} from '@valehitch/routing';
import {match} from 'ts-pattern';
import {RouteTable} from '../configuration/route-table.js';
import {MessageReaders} from '../control/message-readers.js';
import {
	type BorrowReply, type EntryMessage, type ServerNoticeMessage, type WatchMessage,
} from '../control/peer-message.js';
import {EvidenceDelta} from '../rollouts/evidence-delta.js';
import {KnownRollouts} from '../rollouts/known-rollouts.js';
import {type EntryInspection} from '../inspection/inspection-handler.js';
import {applyServerNews} from './apply-server-news.js';
import {createCallerServer} from './caller-server.js';
import {checkServerProcess} from './check-server-process.js';
import {ConfigurationLease} from './configuration-lease.js';
import {type ControlUpdate, ControlWatch} from './control-watch.js';
import {type EntryContext} from './entry-context.js';
import {type EntryInstanceOptions} from './entry-instance-options.js';
import {EntryServers} from './entry-servers.js';
import {EntrySuspects} from './entry-suspects.js';
import {EscalationDemand} from './escalation-demand.js';
import {EvidenceCounter} from './evidence-counter.js';
import {handleRequest} from './handle-request.js';
import {closeIdleConnections} from './connection-pool.js';
import {KnownPeers} from './known-peers.js';
import {LatencyEstimator} from './latency-estimator.js';
import {LoadExchange} from './load-exchange.js';
import {poolContention} from './pool-contention.js';
import {PoolLoads} from './pool-loads.js';
import {RepeatTracker} from './repeat-tracker.js';
import {RequestAdmission} from './request-admission.js';
import {createServerLinks} from './create-server-links.js';
import {createServerRelays} from './create-server-relays.js';
import {SendBorrower} from './send-borrower.js';
import {ServerTunnels} from './server-tunnels.js';
import {SuspectReporter} from './suspect-reporter.js';
import {VersionPins} from './version-pins.js';

/** The retries that an instance may make in a time window without traffic. The platform allows each instance of its deployments between two and eight. */
const retrySlack = 2;
/** Idle connections are kept open for this multiple of the callers' idle timeout, so that the server does not close a connection that a caller is about to reuse. */
const idleFactor = 2;
/** The interval at which changed loads are sent to peers, in milliseconds; shorter than most requests take. */
const loadFlushMilliseconds = 80;
/** The interval at which idle connections are closed while the instance drains, in milliseconds. */
const drainPollMilliseconds = 50;

/**
An entry instance: accepts requests and routes them by the state received from control instances. It continues with the last known state while no control instance is reachable.

@example
```ts
const entry = new EntryInstance(options);
await entry.start();
```
*/
export class EntryInstance {
	/** The connections to servers that this instance opens for others. */
	readonly tunnels: ServerTunnels;
	readonly #options: EntryInstanceOptions;
	readonly #context: EntryContext;
	readonly #watch: ControlWatch;
	readonly #loadExchange: LoadExchange;
	readonly #poolLoads: PoolLoads;
	/** The control instances that read reports of work. */
	readonly #reportReaders = new MessageReaders();
	readonly #reporter: SuspectReporter;
	readonly #rollouts: KnownRollouts;
	readonly #peers: KnownPeers;
	readonly #server: Server;
	readonly #replyWaiters = new StepNotifier();
	readonly #serverWaiters = new StepNotifier();
	/** The evidence counters last sent to each control instance. */
	readonly #evidenceDeltas = new Map<InstanceId, EvidenceDelta>();
	#table: RouteTable | undefined;
	#loadTimer: NodeJS.Timeout | undefined;
	#hadLease = false;
	/** The answers to requests in progress. */
	readonly #inProgress = new Set<ServerResponse>();
	#endsAt: number | undefined;

	constructor(options: EntryInstanceOptions) {
		const {clock, random, zone, self, run} = options;
		this.#options = options;
		this.#rollouts = new KnownRollouts(options);
		this.#peers = new KnownPeers(options);
		this.#loadExchange = new LoadExchange({
			ownLoads: () => this.#context.servers.loads,
			peers: () => this.#poolLoads.usesDigest ? [] : this.#peers.ids,
			send: options.send,
		});
		this.#poolLoads = new PoolLoads({
			...options,
			exchange: this.#loadExchange,
			isLarge: () => this.#peers.reachesFew,
			controls: this.#reportReaders,
			ownLoads: () => this.#context.servers.ownLoads,
			ownLoadAt: server => this.#context.servers.ownLoadAt(server),
			heldWork: () => this.#context.admission.heldWork(),
			ask: options.reportWork,
		});
		const suspension = new SuspensionDetector(clock);
		const notes = new DecisionNotes({sampledShare: options.notedShare});
		const servers = new EntryServers({
			zone,
			random,
			notes,
			loads: this.#poolLoads,
			placesOf: server => this.#peers.placesOf(server),
			coldDurationOf: service => this.#table?.findService(service)?.cold?.duration,
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
			checkProcess: async server => checkServerProcess(server, {...this.#context, links: this.#context.links.of(server.service)}),
			onChanged: fingerprint => {
				this.#reporter.report(fingerprint);
			},
		});
		this.#reporter = new SuspectReporter({registry: suspects.registry, send: options.reportSuspects});
		this.#context = {
			...options,
			lease: new ConfigurationLease({
				duration: options.leaseMilliseconds,
				suspension,
				onSuspension: () => {
					this.#watch.requestConfirmation();
				},
			}),
			servers,
			poolLoads: this.#poolLoads,
			links: createServerLinks(options, {
				servers,
				relayCount: () => this.#context.relays.candidateCount,
				onCutOff: () => {
					this.#watch.requestConfirmation();
				},
			}),
			relays: createServerRelays(options, this.#peers),
			suspects,
			borrower: new SendBorrower({
				clock,
				random,
				rates: servers.limits.rates,
				peers: () => this.#peers.ids,
				exhaustedServers: service => servers.availability.exhausted(service, clock.monotonic()),
				ask: options.askForSends,
				onBorrowed(count) {
					options.metrics.borrowedSends.inc(count);
				},
			}),
			budget: new WindowedRetryBudget({ratio: options.retryShare, minimumPerWindow: retrySlack, windowMilliseconds: options.retryWindowMilliseconds}),
			admission: new RequestAdmission({
				...options,
				notes,
				availability: servers.availability,
				picture: () => this.#poolLoads.picture(),
				table: () => this.#table,
				endsAt: () => this.#endsAt,
			}),
			latencies: new LatencyEstimator(clock),
			escalations: new EscalationDemand({
				contentionAt: service => poolContention(service, {picture: this.#poolLoads.picture(), table: this.#table, availability: servers.availability}),
			}),
			pins: new VersionPins(options),
			repeats: new RepeatTracker(),
			evidence: new EvidenceCounter({entry: self, run}),
			notes,
			memory: new HeldMemory({totalBytes: options.heldBytes}),
			table: () => this.#table,
			nextReply: async timeout => Promise.race([this.#replyWaiters.waitForNext(), options.wait(timeout)]),
			nextServerChange: async timeout => Promise.race([this.#serverWaiters.waitForNext(), options.wait(timeout)]),
			rolloutOf: service => this.#rollouts.forService(service),
			endsAt: () => this.#endsAt,
			tellRelay: options.send,
			tellRejection: rejection => this.#peers.tellRejection(rejection),
			reportLimit: () => {
				this.#watch.requestConfirmation();
			},
		};
		this.tunnels = new ServerTunnels({...this.#context, isStopping: () => this.#endsAt !== undefined});
		this.#watch = new ControlWatch({
			...options,
			suspension,
			watchFields: host => this.#watchFields(host),
			onUpdate: update => {
				this.#applyReply(update, clock.monotonic());
			},
			onLost: source => {
				servers.markSourceLost(source);
				this.#reportReaders.forget(source);
			},
		});
		this.#server = createCallerServer({
			log: options.log,
			handle: async (message, response) => this.#handle(message, response),
		});
	}

	/** Whether the instance is ready for requests: it has a configuration with a valid lease and is not shutting down. */
	get isReady(): boolean {
		const now = this.#options.clock.monotonic();
		return this.#endsAt === undefined && this.#table !== undefined && (!this.#table.needsKeys || this.#context.lease.isValid(now));
	}

	/** What this instance believes of the servers, and why its latest requests went where they went. */
	get inspection(): EntryInspection {
		const {servers, notes} = this.#context;
		return {
			beliefs: () => servers.beliefs(this.#options.clock.monotonic(), this.#poolLoads.usesDigest ? this.#poolLoads.picture() : undefined),
			decisionsOf: request => notes.get(request),
		};
	}

	/**
	Starts to watch the control instances and to listen for callers.

	@throws If the port cannot be opened.
	*/
	async start(): Promise<void> {
		this.#watch.start();
		this.#loadTimer = setInterval(() => {
			this.#poolLoads.flush();
			this.#loadExchange.flush(this.#options.clock.monotonic());
			this.#options.metrics.heldBytes.set(this.#context.memory.held);
		}, loadFlushMilliseconds);
		const {host, port} = this.#options.listen;
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
	}

	/**
	Begins the shutdown: from now on, the instance reports that it is not ready, and answers ask callers to close their connections.

	@param endsAt When all connections will be closed, in milliseconds on the monotonic clock.
	*/
	beginStop(endsAt: number): void {
		this.#endsAt = endsAt;
	}

	/**
	Handles a message from another entry instance.

	@param from The sender.
	@param message The load of the sender at each server, what a server said in an answer that came through this instance, or a request for sends.
	@returns The reply to a request for sends; undefined for the others.
	*/
	receive(from: InstanceId, message: EntryMessage): BorrowReply | undefined {
		return match(message)
			.with({type: 'load'}, loads => {
				this.#loadExchange.receive(from, loads, this.#options.clock.monotonic());
				return undefined;
			})
			.with({type: 'server-notice'}, notice => {
				this.#applyNotice(notice);
				return undefined;
			})
			.with({type: 'borrow-sends'}, wanted => this.#context.borrower.lend(wanted))
			.exhaustive();
	}

	/** Closes idle connections, so that their callers connect to other instances before this one stops; none while a caller has yet to read a complete answer. */
	closeIdle(): void {
		// The server also takes a connection for idle whose answer is complete but not read yet.
		const isAnswerUnread = [...this.#inProgress].some(({writableEnded, writableLength}) => writableEnded && writableLength > 0);
		if (!isAnswerUnread) {
			this.#server.closeIdleConnections();
		}
	}

	/**
	Waits until no request is in progress.

	@param until The time at which to stop waiting, in milliseconds on the monotonic clock.
	*/
	async drained(until: number): Promise<void> {
		while (this.#inProgress.size > 0 && this.#options.clock.monotonic() < until) {
			this.closeIdle();
			await this.#options.wait(drainPollMilliseconds);
		}
	}

	/** Closes all connections. */
	close(): void {
		this.#watch.stop();
		this.#context.links.stop();
		this.#context.relays.close();
		clearInterval(this.#loadTimer);
		this.#server.close();
		for (const response of this.#inProgress) {
			abortResponse(response);
		}

		this.#server.closeAllConnections();
	}

	async #handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		this.#inProgress.add(response);
		try {
			await handleRequest(this.#context, message, response);
		} catch (error) {
			const reason = error instanceof Error ? error.stack ?? error.message : String(error);
			this.#options.log('request-ended', {outcome: 'internal', reason}, 'error');
			abortResponse(response);
		} finally {
			// A slow caller may still have to read an answer that is buffered.
			whenResponseCloses(response, () => {
				this.#inProgress.delete(response);
			});
		}
	}

	#watchFields(host: InstanceId): Pick<WatchMessage, 'zone' | 'configurationVersion' | 'rolloutDigest' | 'evacuationRevision' | 'evidence' | 'serverLimits' | 'isCutOff'> {
		const delta = this.#evidenceDeltas.get(host) ?? new EvidenceDelta();
		this.#evidenceDeltas.set(host, delta);
		return {
			zone: this.#options.zone,
			isCutOff: this.#context.links.isCutOff,
			configurationVersion: this.#table?.version,
			rolloutDigest: this.#rollouts.digest,
			evacuationRevision: this.#context.servers.evacuations.revision,
			serverLimits: this.#context.servers.limits.rates.heard(this.#options.clock.monotonic()),
			evidence: delta.takeChanged(this.#context.evidence.countersOf(this.#rollouts.runningServices), this.#options.clock.monotonic()),
		};
	}

	#applyReply({source, reply, isFullState, confirmedAt, sentAt}: ControlUpdate, now: number): void {
		const {log} = this.#options;
		const {lease, suspects} = this.#context;
		suspects.merge(reply.suspects, source);
		this.#reporter.addControl(source, reply.run);
		this.#peers.update(source, reply);
		this.#reportReaders.record(source, {canRead: reply.takesWorkReports === true, zone: reply.zone});
		const changed = applyServerNews(reply, this.#context, {
			source, now, isFullState, sentAt,
		});
		if (changed.length > 0) {
			this.#serverWaiters.notifyAll();
		}

		if (reply.configuration !== undefined) {
			this.#adoptConfiguration(reply.configuration.document, source);
		}

		if (confirmedAt !== undefined) {
			lease.confirm(confirmedAt);
		}

		this.#replyWaiters.notifyAll();
		this.#rollouts.update(reply, {confirmedAt, now});
		const hasLease = lease.isValid(now);
		if (hasLease !== this.#hadLease) {
			this.#hadLease = hasLease;
			log(hasLease ? 'lease-regained' : 'lease-lost', {age: Math.round(lease.age(now)), configuration: this.#table?.version, source}, 'warn');
		}
	}

	#applyNotice({server, isDraining, pause}: ServerNoticeMessage): void {
		const {servers} = this.#context;
		if (isDraining) {
			servers.markDraining(server);
		}

		if (pause !== undefined) {
			servers.limits.pauses.begin(server, {milliseconds: pause, now: this.#options.clock.monotonic()});
		}
	}

	#adoptConfiguration(document: string, source: InstanceId): void {
		const parsed = this.#options.parse(document);
		parsed.caseOf({
			Left: ({message}) => {
				this.#options.log('configuration-refused', {reason: message, source}, 'error');
			},
			Right: configuration => {
				if (configuration.version <= (this.#table?.version ?? Number.NEGATIVE_INFINITY)) {
					return;
				}

				this.#table = new RouteTable(configuration);
				this.#server.keepAliveTimeout = idleFactor * configuration.limits.idleTimeout;
				this.#options.log('configuration-adopted', {version: configuration.version, routes: configuration.routes.length, source});
			},
		});
	}
}
