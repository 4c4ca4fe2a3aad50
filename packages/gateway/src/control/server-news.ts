import {type Clock, type InstanceId, type ServerId} from '@valehitch/core';
import {intervalAfterInput} from '@valehitch/transport';
import {type DecisionKind, type DecisionLog} from '../logs/decision-log.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';
import {ListSaver} from '../servers/list-saver.js';
import {type SavedList} from '../servers/saved-list.js';
import {ServerDirectory} from '../servers/server-directory.js';
import {type ServerRecord} from '../servers/server-record.js';
import {
	type AllServersReply, type PeerMessage, type ServersMessage, type ServersReply,
} from './peer-message.js';

/** What the exchange of servers between control instances needs. */
export type ServerNewsOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly metrics: Pick<GatewayMetrics, 'missedNotices'>;
	/** The time between two announcements of a server, in milliseconds. */
	readonly heartbeatMilliseconds: number;
	/** The other control instances. */
	readonly others: () => readonly InstanceId[];
	/** Asks another control instance; undefined where no reply came within the timeout in milliseconds. */
	readonly ask: (to: InstanceId, message: PeerMessage, timeout: number) => Promise<unknown>;
	/** Told after each change of the directory. */
	readonly onChange: () => void;
	/** What this instance saves of the directory, so that its next run need not wait for all servers to announce themselves. */
	readonly saved: SavedList<ServerRecord>;
};

/** A point in the changes of a directory up to which a run of another process has taken them. */
type PeerPosition = {
	readonly run: string;
	readonly cursor: number;
};

/** Announcements that may be missed before a server counts as silent; they may come seconds late. */
const missedHeartbeats = 5;
/** The time between two rounds that tell the others which servers were heard. */
const shareMilliseconds = 500;
/** The time between two looks whether the directory must be saved: a save costs two syncs of the disk, and servers change within seconds at the most. */
const saveMilliseconds = 1000;
/** How long the acknowledgement of a shutdown waits for the other control instances and for the disk; the server waits a second. */
const passOnMilliseconds = 600;
/** The time that an instance which just started has to answer with all its servers. */
const allServersMilliseconds = 1000;

/** A server that was saved must announce itself within this many heartbeats, else it counts as silent. */
const restoredHeartbeats = 2;

const logKinds: Readonly<Record<ServerRecord['state'], DecisionKind>> = {ready: 'server-joined', draining: 'server-draining', gone: 'server-gone'};

/**
Keeps the directory of backend servers the same on all control instances, by passing on what changes and what was heard.

@example
```ts
const news = new ServerNews(options);
await news.announce(record);
```
*/
export class ServerNews {
	readonly directory: ServerDirectory;
	readonly #options: ServerNewsOptions;
	readonly #startedAt: number;
	readonly #silentMilliseconds: number;
	readonly #saver: ListSaver<ServerRecord>;
	readonly #heard = new Set<ServerId>();
	/** How far each other control instance has taken the changes of this directory. */
	readonly #taken = new Map<InstanceId, PeerPosition>();
	#stopSharing: (() => void) | undefined;
	#saveTimer: NodeJS.Timeout | undefined;

	constructor(options: ServerNewsOptions) {
		this.#options = options;
		this.#startedAt = options.clock.monotonic();
		this.#silentMilliseconds = missedHeartbeats * options.heartbeatMilliseconds;
		this.directory = new ServerDirectory({silentMilliseconds: this.#silentMilliseconds});
		this.#saver = new ListSaver({
			current: () => ({cursor: this.directory.cursor, items: this.directory.records}),
			saved: options.saved,
		});
	}

	/** All servers, for another control instance. */
	get all(): AllServersReply {
		return {type: 'servers', records: this.directory.records, listenedFor: this.#options.clock.monotonic() - this.#startedAt};
	}

	/** Starts the rounds, asks the others for what they know, and takes what the run before saved; resolves once that is read. */
	async start(): Promise<void> {
		// A round says which servers are silent.
		this.#stopSharing = intervalAfterInput(shareMilliseconds, () => {
			this.share();
		});
		this.#saveTimer = setInterval(() => {
			void this.save();
		}, saveMilliseconds);
		await this.restore();
		void this.#askAll();
	}

	/** Takes the servers that the run before saved, where nothing newer is known of them. */
	async restore(): Promise<void> {
		const {saved, clock, heartbeatMilliseconds, log, onChange} = this.#options;
		const records = await saved.read();
		const restored = this.directory.restore(records, {now: clock.monotonic(), graceMilliseconds: restoredHeartbeats * heartbeatMilliseconds});
		log('servers-restored', {saved: records.length, restored: restored.length});
		if (restored.length > 0) {
			onChange();
		}
	}

	/** Saves the directory where it changed. */
	async save(): Promise<void> {
		await this.#saver.save();
	}

	stop(): void {
		this.#stopSharing?.();
		clearInterval(this.#saveTimer);
	}

	/**
	Takes an announcement; one of a shutdown is passed on to the other control instances first.

	@param record What the server said.
	*/
	async announce(record: ServerRecord): Promise<void> {
		const changed = this.directory.announce(record, this.#options.clock.monotonic());
		this.#heard.add(record.id);
		await this.#passOn(changed);
	}

	/**
	Takes the notice that a server ends, and passes it on before it returns: others may know a server that this instance, just started, does not.

	@param server The server.
	*/
	async remove(server: ServerId): Promise<void> {
		this.end(server);
		await this.#secure(this.#tellOthers({type: 'server-ended', server}, [server]));
	}

	/**
	Notes that a server ended.

	@param server The server.
	*/
	end(server: ServerId): void {
		const changed = this.directory.remove(server, this.#options.clock.monotonic());
		if (changed !== undefined) {
			this.#log([changed], 'notice');
			this.#options.onChange();
		}
	}

	/**
	Takes what another control instance passes on.

	@param message The news.
	*/
	receive({records}: ServersMessage): void {
		const now = this.#options.clock.monotonic();
		let isChanged = false;
		for (const record of records) {
			const changed = this.directory.announce(record, now);
			isChanged ||= changed.length > 0;
			this.#log(changed, 'peer');
		}

		if (isChanged) {
			this.#options.onChange();
		}
	}

	/** Marks the servers that have gone silent, and tells the others which were heard and what they have not taken yet; one round. */
	share(): void {
		const {clock, others, onChange} = this.#options;
		const silenced = this.directory.sweep(clock.monotonic());
		this.#logSilent(silenced);
		if (silenced.length > 0) {
			onChange();
		}

		const heard = new Set(this.#heard);
		this.#heard.clear();
		for (const other of others()) {
			void this.#catchUp(other, heard);
		}
	}

	/** Tells another control instance which servers were heard, and all changes that it has not taken yet. */
	async #catchUp(other: InstanceId, heard: ReadonlySet<ServerId>): Promise<void> {
		const {run, cursor} = this.#taken.get(other) ?? {run: undefined, cursor: 0};
		const {cursor: newest, records: all} = this.directory;
		const changed = new Set(this.directory.changedSince(cursor));
		const records = all.filter(record => changed.has(record) || heard.has(record.id));
		if (records.length === 0) {
			return;
		}

		const reply = await this.#options.ask(other, {type: 'servers', records}, passOnMilliseconds) as ServersReply | undefined;
		if (reply !== undefined) {
			// A process that started meanwhile has only what it was told since.
			const isComplete = cursor === 0 || run === reply.run;
			this.#taken.set(other, {run: reply.run, cursor: isComplete ? newest : 0});
		}
	}

	async #passOn(changed: readonly ServerRecord[]): Promise<void> {
		if (changed.length === 0) {
			return;
		}

		this.#log(changed, 'announcement');
		this.#options.onChange();
		const leaving = changed.filter(({state}) => state !== 'ready').map(({id}) => id);
		const passedOn = this.#tellOthers({type: 'servers', records: changed}, leaving);
		if (leaving.length > 0) {
			await this.#secure(passedOn);
		}
	}

	/** Waits until a shutdown is told and on the disk; a disk that stands still holds it up for no longer than others may. */
	async #secure(told: Promise<void>): Promise<void> {
		await Promise.all([told, this.#saver.saveWithin(passOnMilliseconds)]);
	}

	/** Tells the other control instances, and logs the servers whose shutdown one of them did not take in time. */
	async #tellOthers(message: PeerMessage, leaving: readonly ServerId[]): Promise<void> {
		const {others, ask, log, metrics} = this.#options;
		const missed: InstanceId[] = [];
		await Promise.all(others().map(async other => {
			if (await ask(other, message, passOnMilliseconds) === undefined) {
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

	async #askAll(): Promise<void> {
		const {others, ask} = this.#options;
		await Promise.all(others().map(async other => {
			const reply = await ask(other, {type: 'all-servers'}, allServersMilliseconds) as AllServersReply | undefined;
			if (reply !== undefined) {
				this.receive(reply);
				this.#doubtRestored(reply);
			}
		}));
	}

	/** Only an instance that has listened for as long as a server may be silent has heard of all that run. */
	#doubtRestored({records, listenedFor}: AllServersReply): void {
		const doubted = listenedFor >= this.#silentMilliseconds ? this.directory.doubtRestored(records) : [];
		if (doubted.length > 0) {
			this.#logSilent(doubted);
			this.#options.onChange();
		}
	}

	#logSilent(records: readonly ServerRecord[]): void {
		for (const {id, service, sequence} of records) {
			this.#options.log('server-silent', {server: id, service, sequence}, 'warn');
		}
	}

	#log(records: readonly ServerRecord[], source: string): void {
		for (const {id, state, service, version, zone, startedAt, sequence} of records) {
			this.#options.log(logKinds[state], {
				server: id, service, version, serverZone: zone, startedAt, sequence, source,
			});
		}
	}
}
