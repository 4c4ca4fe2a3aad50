import {type Clock, type InstanceId, type ServerId} from '@valehitch/core';
import {setIntervalAfterPoll} from '@valehitch/transport';
import {type DecisionKind, type DecisionLog} from '../logs/decision-log.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';
import {ListSaver} from '../servers/list-saver.js';
import {type SavedList} from '../servers/saved-list.js';
import {ServerDirectory} from '../servers/server-directory.js';
import {type ServerRecord} from '../servers/server-record.js';
import {encodeServerRows, listedServers} from '../servers/server-rows.js';
import {MessageReaders} from './message-readers.js';
import {
	type AllServersReply, type PeerMessage, type ServersMessage, type ServersReply,
} from './peer-message.js';

/** Options of the server directory synchronization. */
export type ServerDirectorySyncOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly metrics: Pick<GatewayMetrics, 'missedNotices'>;
	/** The interval between announcements of a server, in milliseconds. */
	readonly heartbeatMilliseconds: number;
	/** The other control instances. */
	readonly others: () => readonly InstanceId[];
	/** Sends a request to another control instance; resolves to `undefined` if no reply arrives within the timeout in milliseconds. */
	readonly ask: (to: InstanceId, message: PeerMessage, timeout: number) => Promise<unknown>;
	/** The other control instances that read summaries of work. */
	readonly summaryReaders: Pick<MessageReaders, 'record'>;
	/** Called after each change of the directory. */
	readonly onChange: () => void;
	/** Stores the directory, so that the next run of this instance need not wait for all servers to announce themselves. */
	readonly saved: SavedList<ServerRecord>;
};

/** The last change of the directory that a run of another process has acknowledged. */
type PeerCursor = {
	readonly run: string;
	readonly cursor: number;
};

/** The servers to send in one synchronization round. */
type Batch = {
	readonly records: readonly ServerRecord[];
	/** The same servers for instances that read rows: all but cold ones, whose remaining time rows lack. */
	readonly encoded: () => Pick<ServersMessage, 'records' | 'serverRows'>;
};

/** The number of heartbeats a server may miss before it is considered silent; announcements may arrive seconds late. */
const missedHeartbeatLimit = 5;
/** The interval between synchronizations with the other control instances. */
const syncMilliseconds = 500;
/** The interval at which the directory is saved if it has changed. A save costs two disk syncs, and the directory changes at most every few seconds. */
const saveMilliseconds = 1000;
/** How long the acknowledgement of a shutdown waits for the other control instances and for the disk; the server itself waits one second. */
const forwardTimeoutMilliseconds = 600;
/** How long an instance that receives a shutdown from another one waits for its disk; shorter than the other one waits for its reply. */
const receivedShutdownTimeoutMilliseconds = 400;
/** How long an instance that starts waits for the server lists of the others. */
const allServersTimeoutMilliseconds = 1000;

/** A restored server is considered silent if it does not announce itself within this many heartbeats. */
const restoredGraceHeartbeats = 2;

const logKinds: Readonly<Record<ServerRecord['state'], DecisionKind>> = {ready: 'server-joined', draining: 'server-draining', gone: 'server-gone'};

/**
Synchronizes the directory of backend servers between control instances by sending them changed records and received announcements.

@example
```ts
const sync = new ServerDirectorySync(options);
await sync.announce(record);
```
*/
export class ServerDirectorySync {
	readonly directory: ServerDirectory;
	readonly #options: ServerDirectorySyncOptions;
	readonly #startedAt: number;
	readonly #silentMilliseconds: number;
	readonly #saver: ListSaver<ServerRecord>;
	readonly #announcedIds = new Set<ServerId>();
	/** The changes of this directory that each other control instance has acknowledged. */
	readonly #acknowledged = new Map<InstanceId, PeerCursor>();
	/** The other control instances that read rows. */
	readonly #rowReaders = new MessageReaders();
	/** The last change of the directory by which a server shut down. */
	#shutdownCursor = 0;
	#stopSyncTimer: (() => void) | undefined;
	#saveTimer: NodeJS.Timeout | undefined;

	constructor(options: ServerDirectorySyncOptions) {
		this.#options = options;
		this.#startedAt = options.clock.monotonic();
		this.#silentMilliseconds = missedHeartbeatLimit * options.heartbeatMilliseconds;
		this.directory = new ServerDirectory({silentMilliseconds: this.#silentMilliseconds});
		this.#saver = new ListSaver({
			current: () => ({cursor: this.directory.cursor, items: this.#withColdTimes(this.directory.records)}),
			saved: options.saved,
		});
	}

	/** The reply that sends all servers to another control instance. */
	get allServersReply(): AllServersReply {
		return {type: 'servers', records: this.#withColdTimes(this.directory.records), listenedFor: this.#options.clock.monotonic() - this.#startedAt};
	}

	/** Starts the periodic tasks, restores the servers that the previous run saved, and requests the servers known to the other instances; resolves once the saved servers are restored. */
	async start(): Promise<void> {
		// A round marks silent servers, so it must run after pending input, which may contain their announcements, has been read.
		this.#stopSyncTimer = setIntervalAfterPoll(syncMilliseconds, () => {
			this.runSyncRound();
		});
		this.#saveTimer = setInterval(() => {
			void this.save();
		}, saveMilliseconds);
		await this.restore();
		void this.#fetchAll();
	}

	/** Restores the servers that the previous run saved, except those that are already known. */
	async restore(): Promise<void> {
		const {saved, clock, heartbeatMilliseconds, log, onChange} = this.#options;
		const records = await saved.read();
		const restored = this.directory.restore(records, {now: clock.monotonic(), graceMilliseconds: restoredGraceHeartbeats * heartbeatMilliseconds});
		log('servers-restored', {saved: records.length, restored: restored.length});
		if (restored.length > 0) {
			onChange();
		}
	}

	/** Saves the directory if it has changed. */
	async save(): Promise<void> {
		await this.#saver.save();
	}

	/** Waits until the shutdowns that other instances have sent are saved, so that they outlive the disk of the instance that acknowledges them; a stalled disk delays it for a limited time. */
	async saveShutdowns(): Promise<void> {
		if (this.#saver.savedCursor < this.#shutdownCursor) {
			await this.#saver.saveWithin(receivedShutdownTimeoutMilliseconds);
		}
	}

	stop(): void {
		this.#stopSyncTimer?.();
		clearInterval(this.#saveTimer);
	}

	/**
	Handles an announcement; for a shutdown, waits until it is sent to the other control instances and saved.

	@param record The announced record.
	*/
	async announce(record: ServerRecord): Promise<void> {
		const changed = this.directory.announce(record, this.#options.clock.monotonic());
		this.#announcedIds.add(record.id);
		await this.#forward(changed);
	}

	/**
	Handles the notice that a server is stopping, and forwards it before returning even if the server is unknown: other instances may have a record of a server from which this instance, having just started, has not received an announcement.

	@param server The server.
	*/
	async remove(server: ServerId): Promise<void> {
		this.markEnded(server);
		await this.#waitUntilDurable(this.#broadcast({type: 'server-ended', server}, [server]));
	}

	/**
	Marks a server as stopped.

	@param server The server.
	*/
	markEnded(server: ServerId): void {
		const changed = this.directory.markEnded(server, this.#options.clock.monotonic());
		if (changed !== undefined) {
			this.#shutdownCursor = this.directory.cursor;
			this.#logStates([changed], 'notice');
			this.#options.onChange();
		}
	}

	/**
	Merges the records that another control instance sends.

	@param message The records.
	*/
	receive(message: ServersMessage): void {
		const now = this.#options.clock.monotonic();
		let isChanged = false;
		for (const record of listedServers(message)) {
			const changed = this.directory.announce(record, now);
			isChanged ||= changed.length > 0;
			this.#shutdownCursor = changed.some(({state}) => state !== 'ready') ? this.directory.cursor : this.#shutdownCursor;
			this.#logStates(changed, 'peer');
		}

		if (isChanged) {
			this.#options.onChange();
		}
	}

	/** Runs one synchronization round: marks silent servers, and sends each other instance the servers that announced themselves and the changes that it has not acknowledged. */
	runSyncRound(): void {
		const {clock, others, onChange} = this.#options;
		const silenced = this.directory.sweep(clock.monotonic());
		this.#logSilent(silenced);
		if (silenced.length > 0) {
			onChange();
		}

		const announcedIds = new Set(this.#announcedIds);
		this.#announcedIds.clear();
		// The other instances nearly always lack the same changes.
		const batches = new Map<number, Batch>();
		for (const other of others()) {
			const cursor = this.#acknowledged.get(other)?.cursor ?? 0;
			const batch = batches.get(cursor) ?? this.#batchSince(cursor, announcedIds);
			batches.set(cursor, batch);
			void this.#sendBatch(other, batch);
		}
	}

	/** The servers that announced themselves, and all changes after a cursor. */
	#batchSince(cursor: number, announcedIds: ReadonlySet<ServerId>): Batch {
		const changed = new Set(this.directory.changedSince(cursor));
		const records = this.#withColdTimes(this.directory.records.filter(record => changed.has(record) || announcedIds.has(record.id)));
		let encoded: Pick<ServersMessage, 'records' | 'serverRows'> | undefined;
		return {
			records,
			encoded() {
				encoded ??= encodeBatch(records);
				return encoded;
			},
		};
	}

	async #sendBatch(other: InstanceId, {records, encoded}: Batch): Promise<void> {
		const {run, cursor} = this.#acknowledged.get(other) ?? {run: undefined, cursor: 0};
		const {cursor: latestCursor} = this.directory;
		if (records.length === 0) {
			return;
		}

		const servers: Pick<ServersMessage, 'records' | 'serverRows'> = this.#rowReaders.has(other) ? encoded() : {records};
		const reply = await this.#options.ask(other, {type: 'servers', ...servers, takesWorkSummaries: true}, forwardTimeoutMilliseconds) as ServersReply | undefined;
		this.#rowReaders.record(other, {canRead: reply?.takesServerRows === true});
		if (reply !== undefined) {
			this.#options.summaryReaders.record(other, {canRead: reply.takesWorkSummaries === true});
			// If the process has restarted, it has only received the changes since its restart.
			const isRead = servers.serverRows === undefined || reply.takesServerRows === true;
			const isComplete = isRead && (cursor === 0 || run === reply.run);
			this.#acknowledged.set(other, {run: reply.run, cursor: isComplete ? latestCursor : 0});
		}
	}

	async #forward(changed: readonly ServerRecord[]): Promise<void> {
		if (changed.length === 0) {
			return;
		}

		this.#logStates(changed, 'announcement');
		this.#options.onChange();
		const leaving = changed.filter(({state}) => state !== 'ready').map(({id}) => id);
		const broadcast = this.#broadcast({type: 'servers', records: this.#withColdTimes(changed), takesWorkSummaries: true}, leaving);
		if (leaving.length > 0) {
			await this.#waitUntilDurable(broadcast);
		}
	}

	/** Waits until a shutdown is sent to the other instances and saved; a stalled disk delays it no longer than an unresponsive instance. */
	async #waitUntilDurable(broadcast: Promise<void>): Promise<void> {
		await Promise.all([broadcast, this.#saver.saveWithin(forwardTimeoutMilliseconds)]);
	}

	/** Sends a message to the other control instances, and logs the stopping servers if any instance does not acknowledge it in time. */
	async #broadcast(message: PeerMessage, leaving: readonly ServerId[]): Promise<void> {
		const {others, ask, log, metrics} = this.#options;
		const missed: InstanceId[] = [];
		await Promise.all(others().map(async other => {
			if (await ask(other, message, forwardTimeoutMilliseconds) === undefined) {
				missed.push(other);
			}
		}));
		if (missed.length === 0) {
			return;
		}

		for (const server of leaving) {
			metrics.missedNotices.inc(missed.length);
			log('server-notice-missed', {server, missed}, 'warn');
		}
	}

	#withColdTimes(records: readonly ServerRecord[]): readonly ServerRecord[] {
		const now = this.#options.clock.monotonic();
		return records.map(record => this.directory.withColdTime(record, now));
	}

	async #fetchAll(): Promise<void> {
		const {others, ask} = this.#options;
		await Promise.all(others().map(async other => {
			const reply = await ask(other, {type: 'all-servers'}, allServersTimeoutMilliseconds) as AllServersReply | undefined;
			if (reply !== undefined) {
				this.receive(reply);
				this.#silenceUnconfirmed(reply);
			}
		}));
	}

	/** Marks restored servers that another instance does not list as silent, provided that instance has been receiving announcements long enough to have received one from every running server. */
	#silenceUnconfirmed({records, listenedFor}: AllServersReply): void {
		const unconfirmed = listenedFor >= this.#silentMilliseconds ? this.directory.silenceUnconfirmed(records) : [];
		if (unconfirmed.length > 0) {
			this.#logSilent(unconfirmed);
			this.#options.onChange();
		}
	}

	#logSilent(records: readonly ServerRecord[]): void {
		for (const {id, service, sequence} of records) {
			this.#options.log('server-silent', {server: id, service, sequence}, 'warn');
		}
	}

	#logStates(records: readonly ServerRecord[], source: string): void {
		for (const {id, state, service, version, zone, startedAt, sequence} of records) {
			this.#options.log(logKinds[state], {
				server: id, service, version, serverZone: zone, startedAt, sequence, source,
			});
		}
	}
}

function encodeBatch(records: readonly ServerRecord[]): Pick<ServersMessage, 'records' | 'serverRows'> {
	const warm = records.filter(({coldRemaining = 0}) => coldRemaining === 0);
	return {records: records.filter(({coldRemaining = 0}) => coldRemaining > 0), serverRows: encodeServerRows(warm)};
}
