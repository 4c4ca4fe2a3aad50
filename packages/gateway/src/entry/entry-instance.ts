import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type InstanceId, SuspensionWatch} from '@valehitch/core';
import {StepWaiters} from '@valehitch/replication';
import {RetryWindow} from '@valehitch/routing';
import {RouteTable} from '../configuration/route-table.js';
import {type LoadMessage, type WatchMessage} from '../control/peer-message.js';
import {EvidenceDelta} from '../rollouts/evidence-delta.js';
import {KnownRollouts} from '../rollouts/known-rollouts.js';
import {createCallerServer} from './caller-server.js';
import {confirmServerEnd} from './confirm-server-end.js';
import {ConfigurationLease} from './configuration-lease.js';
import {type ControlNews, ControlWatch} from './control-watch.js';
import {type EntryContext} from './entry-context.js';
import {type EntryInstanceOptions} from './entry-instance-options.js';
import {EntryServers} from './entry-servers.js';
import {EntrySuspects} from './entry-suspects.js';
import {EvidenceCounter} from './evidence-counter.js';
import {handleRequest} from './handle-request.js';
import {dropIdleConnections} from './kept-connections.js';
import {LatencyBook} from './latency-book.js';
import {LoadShare} from './load-share.js';
import {RepeatBook} from './repeat-book.js';
import {SuspectReporter} from './suspect-reporter.js';
import {VersionPins} from './version-pins.js';

/** Further sends that one instance may make in a window without any traffic: the platform allows between two and eight for each instance of its deployments. */
const retrySlack = 2;
/** An idle connection is kept this many times longer than callers use it, so that none closes under a request. */
const idleFactor = 2;
/** The time between two looks whether loads changed: below the time that most requests take, in milliseconds. */
const shareMilliseconds = 80;
/** The time for which connections are kept open after a stop began, while the balancer takes this instance out. */
const drainPollMilliseconds = 50;

/**
One entry instance: it takes requests, routes them by what control tells, and goes on with what it knows where control is not reached.

@example
```ts
const entry = new EntryInstance(options);
await entry.start();
```
*/
export class EntryInstance {
	readonly #options: EntryInstanceOptions;
	readonly #context: EntryContext;
	readonly #watch: ControlWatch;
	readonly #share: LoadShare;
	readonly #reporter: SuspectReporter;
	readonly #rollouts: KnownRollouts;
	readonly #server: Server;
	readonly #news = new StepWaiters();
	readonly #serverNews = new StepWaiters();
	/** What each control instance was told of the counters. */
	readonly #told = new Map<InstanceId, EvidenceDelta>();
	#table: RouteTable | undefined;
	#peers: readonly InstanceId[] = [];
	#shareTimer: NodeJS.Timeout | undefined;
	#hadLease = false;
	#inProgress = 0;
	#endsAt: number | undefined;

	constructor(options: EntryInstanceOptions) {
		const {clock, random, zone, self, run} = options;
		this.#options = options;
		this.#rollouts = new KnownRollouts(options);
		this.#share = new LoadShare({
			own: () => this.#context.servers.loads,
			peers: () => this.#peers,
			send: options.send,
		});
		const suspension = new SuspensionWatch(clock);
		const servers = new EntryServers({
			zone,
			random,
			share: this.#share,
			onReplaced: dropIdleConnections,
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
			confirmEnd: confirmServerEnd,
			onLearned: fingerprint => {
				this.#reporter.note(fingerprint);
			},
		});
		this.#reporter = new SuspectReporter({book: suspects.book, tell: options.tell});
		this.#context = {
			...options,
			lease: new ConfigurationLease({
				duration: options.leaseMilliseconds,
				suspension,
				onDoubt: () => {
					this.#watch.confirm();
				},
			}),
			servers,
			suspects,
			budget: new RetryWindow({share: options.retryShare, slack: retrySlack, windowMilliseconds: options.retryWindowMilliseconds}),
			latencies: new LatencyBook(clock),
			pins: new VersionPins(options),
			repeats: new RepeatBook(),
			evidence: new EvidenceCounter({entry: self, run}),
			table: () => this.#table,
			nextNews: async timeout => Promise.race([this.#news.next(), options.wait(timeout)]),
			nextServers: async timeout => Promise.race([this.#serverNews.next(), options.wait(timeout)]),
			rolloutOf: service => this.#rollouts.of(service),
			endsAt: () => this.#endsAt,
		};
		this.#watch = new ControlWatch({
			...options,
			suspension,
			question: host => this.#question(host),
			onNews: news => {
				this.#takeNews(news, clock.monotonic());
			},
			onLost(source) {
				servers.loseSource(source);
			},
		});
		this.#server = createCallerServer({
			log: options.log,
			handle: async (message, response) => this.#handle(message, response),
		});
	}

	/** Whether requests should be sent here: there is a configuration that is known to be recent, and no stop has begun. */
	get isReady(): boolean {
		const now = this.#options.clock.monotonic();
		return this.#endsAt === undefined && this.#table !== undefined && (!this.#table.needsKeys || this.#context.lease.isValid(now));
	}

	/**
	Starts to ask control and to listen.

	@throws If the port cannot be opened.
	*/
	async start(): Promise<void> {
		this.#watch.start();
		this.#shareTimer = setInterval(() => {
			this.#share.flush(this.#options.clock.monotonic());
		}, shareMilliseconds);
		const {host, port} = this.#options.listen;
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
	}

	/**
	Says from now on that the instance is not ready, and asks callers to close their connections with each answer.

	@param endsAt Milliseconds on the monotonic clock when all connections will be closed.
	*/
	beginStop(endsAt: number): void {
		this.#endsAt = endsAt;
	}

	/**
	Takes a message of another entry instance.

	@param from The instance.
	@param message How much work it has at which server.
	*/
	receive(from: InstanceId, message: LoadMessage): void {
		this.#share.receive(from, message, this.#options.clock.monotonic());
	}

	/** Closes connections without a request, so that their callers go elsewhere before the end. */
	closeIdle(): void {
		this.#server.closeIdleConnections();
	}

	/**
	Waits until no request is in progress.

	@param until Milliseconds on the monotonic clock after which not to wait any more.
	*/
	async drained(until: number): Promise<void> {
		while (this.#inProgress > 0 && this.#options.clock.monotonic() < until) {
			this.closeIdle();
			await this.#options.wait(drainPollMilliseconds);
		}
	}

	/** Closes all connections. */
	close(): void {
		this.#watch.stop();
		clearInterval(this.#shareTimer);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		this.#inProgress++;
		try {
			await handleRequest(this.#context, message, response);
		} catch (error) {
			const reason = error instanceof Error ? error.stack ?? error.message : String(error);
			this.#options.log('request-ended', {outcome: 'internal', reason}, 'error');
			response.destroy();
		} finally {
			this.#inProgress--;
		}
	}

	#question(host: InstanceId): Pick<WatchMessage, 'zone' | 'configurationVersion' | 'rolloutDigest' | 'evidence'> {
		const delta = this.#told.get(host) ?? new EvidenceDelta();
		this.#told.set(host, delta);
		return {
			zone: this.#options.zone,
			configurationVersion: this.#table?.version,
			rolloutDigest: this.#rollouts.digest,
			evidence: delta.next(this.#context.evidence.of(this.#rollouts.runningServices), this.#options.clock.monotonic()),
		};
	}

	#takeNews({source, reply, isWhole, confirmedAt}: ControlNews, now: number): void {
		const {log} = this.#options;
		const {lease, servers, suspects} = this.#context;
		suspects.take(reply.suspects, source);
		this.#reporter.hear(source, reply.run);
		const changed = servers.take(reply.records, {source, now, isWhole});
		this.#peers = reply.entries;
		if (changed.length > 0) {
			this.#serverNews.wake();
		}

		for (const {id, state, service, version, startedAt, sequence} of changed) {
			log(state === 'ready' ? 'server-joined' : 'server-draining', {
				server: id, service, version, state, startedAt, sequence, source,
			});
		}

		if (reply.configuration !== undefined) {
			this.#adopt(reply.configuration.document, source);
		}

		if (confirmedAt !== undefined) {
			lease.confirm(confirmedAt);
		}

		this.#news.wake();
		this.#rollouts.take(reply, {confirmedAt, now});
		const hasLease = lease.isValid(now);
		if (hasLease !== this.#hadLease) {
			this.#hadLease = hasLease;
			log(hasLease ? 'lease-regained' : 'lease-lost', {age: Math.round(lease.age(now)), configuration: this.#table?.version, source}, 'warn');
		}
	}

	#adopt(document: string, source: InstanceId): void {
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
