import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {Server as NetServer} from 'node:net';
import {failure, type InstanceId, SuspensionDetector} from '@valehitch/core';
import {StepNotifier} from '@valehitch/replication';
import {
	ConnectionTurns, readPendingInput, ResponsesInProgress, sendProblem,
} from '@valehitch/transport';
import {match} from 'ts-pattern';
import {MessageReaders} from '../control/message-readers.js';
import {
	type BorrowReply, type EntryMessage, type ServerNoticeMessage, type WatchMessage,
} from '../control/peer-message.js';
import {EvidenceDelta} from '../rollouts/evidence-delta.js';
import {KnownRollouts} from '../rollouts/known-rollouts.js';
import {type EntryInspection} from '../inspection/inspection-handler.js';
import {applyServerNews} from './apply-server-news.js';
import {CallerConnections} from './caller-connections.js';
import {createCallerServer} from './caller-server.js';
import {type ControlUpdate, ControlWatch} from './control-watch.js';
import {createEntryContext} from './create-entry-context.js';
import {type EntryContext} from './entry-context.js';
import {type EntryInstanceOptions} from './entry-instance-options.js';
import {handleRequest} from './handle-request.js';
import {InstanceStop} from './instance-stop.js';
import {KnownConfiguration} from './known-configuration.js';
import {KnownPeers} from './known-peers.js';
import {LoadExchange} from './load-exchange.js';
import {PoolLoads} from './pool-loads.js';
import {ServerTunnels} from './server-tunnels.js';
import {type SuspectReporter} from './suspect-reporter.js';

/** Idle connections are kept open for this multiple of the callers' idle timeout, so that the server does not close a connection that a caller is about to reuse. */
const idleFactor = 2;
/** The interval at which changed loads are sent to peers, in milliseconds; shorter than most requests take. */
const loadFlushMilliseconds = 80;
/** The interval at which an instance that drains looks whether its callers still use their connections, in milliseconds. */
const drainPollMilliseconds = 50;
/** How long connections are read on after they were closed for sending at the end of a stop, in milliseconds. */
const lingerMilliseconds = 50;

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
	readonly #configuration: KnownConfiguration;
	#loadTimer: NodeJS.Timeout | undefined;
	#hadLease = false;
	readonly #responses = new ResponsesInProgress();
	readonly #turns = new ConnectionTurns();
	readonly #connections: CallerConnections;
	readonly #stop: InstanceStop;

	constructor(options: EntryInstanceOptions) {
		const {clock} = options;
		this.#options = options;
		this.#stop = new InstanceStop(clock);
		this.#connections = new CallerConnections(clock);
		this.#configuration = new KnownConfiguration({
			...options,
			onAdopted: ({limits}) => {
				this.#server.keepAliveTimeout = idleFactor * limits.idleTimeout;
				this.#replyWaiters.notifyAll();
			},
			onConfirmed: at => {
				this.#context.lease.confirm(at);
			},
		});
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
		const {context, reporter} = createEntryContext(options, {
			suspension,
			peers: this.#peers,
			poolLoads: this.#poolLoads,
			rollouts: this.#rollouts,
			replyWaiters: this.#replyWaiters,
			serverWaiters: this.#serverWaiters,
			table: () => this.#configuration.table,
			stop: this.#stop,
			confirmState: () => {
				this.#watch.requestConfirmation();
			},
		});
		this.#context = context;
		this.#reporter = reporter;
		this.tunnels = new ServerTunnels({...this.#context, isStopping: () => this.#stop.endsAt !== undefined});
		this.#watch = new ControlWatch({
			...options,
			suspension,
			watchFields: host => this.#watchFields(host),
			onUpdate: update => {
				this.#applyReply(update, clock.monotonic());
			},
			onLost: source => {
				context.servers.markSourceLost(source);
				this.#reportReaders.forget(source);
			},
		});
		this.#server = createCallerServer({
			log: options.log,
			handle: async (message, response) => this.#handle(message, response),
			onClose(reason) {
				options.metrics.closedConnections.inc({reason});
			},
		});
		this.#server.on('connection', socket => {
			this.#connections.add(socket);
		});
	}

	/** Whether the instance is ready for requests: it has a configuration with a valid lease and is not shutting down. */
	get isReady(): boolean {
		const now = this.#options.clock.monotonic();
		return this.#stop.endsAt === undefined && this.#configuration.table !== undefined && (!this.#configuration.table.needsKeys || this.#context.lease.isValid(now));
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
	Begins the shutdown: from now on, the instance reports that it is not ready, the last answers on connections ask callers to close them, and requests whose time limits end too late are refused as not run.

	@param endsAt When all connections will be closed, in milliseconds on the monotonic clock.
	*/
	beginStop(endsAt: number): void {
		this.#stop.begin(endsAt, this.#responses.followed);
	}

	/**
	Handles a message from another entry instance.

	@param from The sender.
	@param message The load of the sender at each server, what a server said in an answer that came through this instance, that the sender shuts down, or a request for sends.
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
			.with({type: 'relay-stopping'}, () => {
				this.#context.relays.retire(from);
				return undefined;
			})
			.with({type: 'borrow-sends'}, wanted => this.#context.borrower.lend(wanted))
			.exhaustive();
	}

	/**
	Waits until no request is in progress, none has arrived unread, and no caller may send another one: each kept connection has had an answer that closes it, or has been idle for longer than its caller keeps it. Then ends the idle connections.

	@param until The time at which to stop waiting, in milliseconds on the monotonic clock.
	*/
	async drained(until: number): Promise<void> {
		await readPendingInput();
		while (this.#isInUse && this.#options.clock.monotonic() < until) {
			await this.#options.wait(drainPollMilliseconds);
			await readPendingInput();
		}

		// The HTTP server's own method closes idle connections at once.
		NetServer.prototype.close.call(this.#server);
		await readPendingInput();
		if (this.#connections.endIdle()) {
			await this.#options.wait(lingerMilliseconds);
		}
	}

	/** Closes all connections. */
	close(): void {
		this.#stop.close();
		this.#watch.stop();
		this.#context.links.stop();
		this.#context.relays.close();
		clearInterval(this.#loadTimer);
		this.#server.close();
		this.#recordCutOff();
		this.#responses.abort();
		this.#server.closeAllConnections();
	}

	get #isInUse(): boolean {
		return this.#responses.size > 0 || this.#connections.isAnyUsedWithin(this.#idleTime);
	}

	/** For how long callers keep an idle connection, in milliseconds. */
	get #idleTime(): number {
		return this.#server.keepAliveTimeout / idleFactor;
	}

	async #handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const arrivedAt = this.#options.clock.monotonic();
		this.#responses.add(response);
		this.#connections.recordRequest(response, {idleTime: this.#idleTime});
		try {
			if (await this.#turns.next(response)) {
				await handleRequest(this.#context, {message, response, arrivedAt});
			} else {
				this.#recordUnhandled(message);
			}
		} catch (error) {
			const reason = error instanceof Error ? error.stack ?? error.message : String(error);
			this.#options.log('request-ended', {outcome: 'internal', reason}, 'error');
			sendProblem(response, failure('internal', 'Unexpected error in the request handler'));
		} finally {
			this.#responses.endWithConnection(response);
		}
	}

	/** Records that requests end without a complete answer because this instance stops; their own lines cannot tell it from callers that leave. */
	#recordCutOff(): void {
		const {size} = this.#responses;
		if (size > 0) {
			this.#options.metrics.closedConnections.inc({reason: 'stopping'}, size);
			this.#options.log('requests-cut-off', {count: size}, 'warn');
		}
	}

	/** Records a request that was not sent on, so that its caller may repeat it on another connection. */
	#recordUnhandled(message: IncomingMessage): void {
		const {log, dialect, metrics} = this.#options;
		metrics.unhandledRequests.inc();
		log('request-ended', {request: dialect.readRequest(message).id, outcome: 'not-handled', reason: 'The connection was closed before the turn of the request'}, 'warn');
	}

	#watchFields(host: InstanceId): Pick<WatchMessage, 'zone' | 'configurationVersion' | 'rolloutDigest' | 'evacuationRevision' | 'evidence' | 'serverLimits' | 'isCutOff'> {
		const delta = this.#evidenceDeltas.get(host) ?? new EvidenceDelta();
		this.#evidenceDeltas.set(host, delta);
		return {
			zone: this.#options.zone,
			isCutOff: this.#context.links.isCutOff,
			configurationVersion: this.#configuration.version,
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

		this.#configuration.update(reply, {source, confirmedAt});

		this.#context.freshness.recordReply(confirmedAt);
		this.#replyWaiters.notifyAll();
		this.#rollouts.update(reply, {confirmedAt, now});
		const hasLease = lease.isValid(now);
		if (hasLease !== this.#hadLease) {
			this.#hadLease = hasLease;
			log(hasLease ? 'lease-regained' : 'lease-lost', {age: Math.round(lease.age(now)), configuration: this.#configuration.table?.version, source}, 'warn');
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
}
