import {type Clock, type InstanceId, type SuspectFingerprint} from '@valehitch/core';
import {isPromptPart, SuspectRegistry, type SuspectRecord} from '@valehitch/routing';
import {type DecisionLog} from '../logs/decision-log.js';
import {ListSaver} from '../servers/list-saver.js';
import {type SavedList} from '../servers/saved-list.js';
import {type PeerMessage, type SuspectsMessage} from './peer-message.js';

/** Options of the suspect synchronization. */
export type SuspectSyncOptions = {
	readonly clock: Pick<Clock, 'now'>;
	readonly log: DecisionLog;
	/** The other control instances. */
	readonly others: () => readonly InstanceId[];
	/** Sends a request to another control instance; resolves to `undefined` if no reply arrives within the timeout in milliseconds. */
	readonly ask: (to: InstanceId, message: PeerMessage, timeout: number) => Promise<unknown>;
	/** Called after each change that must be sent to entry instances. */
	readonly onChange: () => void;
	/** Stores the records, so that they survive a restart of all processes. */
	readonly saved: SavedList<SuspectRecord>;
};

/** A suspect record as listed for operators. */
export type ListedSuspect = SuspectRecord & {
	/** Whether the responding instance has saved the current record to disk, so that it survives a restart of all processes. */
	readonly isSaved: boolean;
};

/** The result of lifting a quarantine. */
export type QuarantineLiftResult = {
	/** Whether the change is saved to disk, so that it survives a restart of all processes. */
	readonly isSaved: boolean;
};

/** Reports received within this time, in milliseconds, are relayed in one message; all entry instances with requests on a crashed server report at about the same time. */
const relayDelayMilliseconds = 30;
/** The interval, in milliseconds, at which known records are sent again for instances that missed them during a network partition. */
const syncMilliseconds = 1000;
/** The number of records sent in one synchronization round, which keeps the message below 4 KB. */
const recordsPerSync = 16;
const askTimeoutMilliseconds = 600;
/** How long an operator's request waits for the disk; bounded so that records can be listed even while the disk stalls. */
const diskTimeoutMilliseconds = 2000;

/**
Synchronizes the records of requests suspected of crashing servers between control instances, and saves them to disk.

Records are merged by set union, which requires neither a leader nor a quorum, so that synchronization also works within a partitioned zone and while there is no leader.

@example
```ts
const sync = new SuspectSync(options);
sync.receive({type: 'suspects', records, isRelayed: false});
```
*/
export class SuspectSync {
	readonly registry = new SuspectRegistry();
	readonly #options: SuspectSyncOptions;
	readonly #saver: ListSaver<SuspectRecord>;
	readonly #unrelayed = new Set<SuspectFingerprint>();
	/** The quarantined parts of prompts at the last round. */
	#quarantinedParts: ReadonlySet<SuspectFingerprint> = new Set();
	#relayTimer: NodeJS.Timeout | undefined;
	#syncTimer: NodeJS.Timeout | undefined;
	/** The index of the first record to send in the next round. */
	#syncOffset = 0;
	#isRestored = false;

	constructor(options: SuspectSyncOptions) {
		this.#options = options;
		this.#saver = new ListSaver({
			current: () => ({cursor: this.registry.cursor, items: this.registry.sharedRecords}),
			saved: options.saved,
		});
	}

	/** Whether the records that the previous run saved are restored. Until then, an entry instance may not send a request on the word of this instance. */
	get isRestored(): boolean {
		return this.#isRestored;
	}

	/** Starts the periodic rounds, requests the records of the other instances, restores the records that the previous run saved, and sends those to the others; resolves once the saved records are restored. */
	async start(): Promise<void> {
		this.#syncTimer = setInterval(() => {
			this.#runSync();
		}, syncMilliseconds);
		void this.#fetchAll();
		await this.restore();
		// Another instance may have lost its disk and requested the records before this instance could reply.
		this.#broadcast(this.registry.sharedRecords);
	}

	stop(): void {
		clearInterval(this.#syncTimer);
		clearTimeout(this.#relayTimer);
	}

	/** Restores the records that the previous run saved. */
	async restore(): Promise<void> {
		const records = await this.#options.saved.read();
		this.#merge(records, 'disk');
		this.#isRestored = true;
		this.#options.onChange();
	}

	/**
	Merges the records that another instance sends, and relays those of entry instances.

	@param message The records.
	*/
	receive({records, isRelayed}: SuspectsMessage): void {
		for (const {fingerprint} of this.#merge(records, isRelayed ? 'control' : 'entry')) {
			if (!isRelayed) {
				this.#relay(fingerprint);
			}
		}
	}

	/**
	Lifts the quarantine of a request or a part of prompts; crashes recorded so far no longer count against it.

	@param fingerprint The request or the part.
	@returns Whether the change is saved to disk, or `undefined` if nothing is known of it.
	*/
	async liftQuarantine(fingerprint: SuspectFingerprint): Promise<QuarantineLiftResult | undefined> {
		if (!this.registry.clear(fingerprint)) {
			return undefined;
		}

		this.#options.log('request-cleared', {fingerprint, source: 'operator'});
		this.#relay(fingerprint);
		this.#options.onChange();
		return {isSaved: await this.#saver.saveWithin(diskTimeoutMilliseconds)};
	}

	/**
	Lists the records that are shared between instances, after trying to save them to disk.

	@returns The records, each with whether it was saved in time.
	*/
	async list(): Promise<readonly ListedSuspect[]> {
		await this.#saver.saveWithin(diskTimeoutMilliseconds);
		const unsaved = new Set(this.registry.changedSince(this.#saver.savedCursor));
		return this.registry.sharedRecords.map(record => ({...record, isSaved: !unsaved.has(record)}));
	}

	/** Saves the shared records if they have changed. */
	async save(): Promise<void> {
		await this.#saver.save();
	}

	#merge(records: readonly SuspectRecord[], source: string): readonly SuspectRecord[] {
		const {cursor} = this.registry;
		const changed = this.registry.merge(records);
		const now = this.#now();
		for (const {fingerprint, ends} of changed) {
			if (!isPromptPart(fingerprint) && this.registry.status(fingerprint, now) === 'quarantined') {
				this.#options.log('request-quarantined', {fingerprint, processes: ends.map(({process}) => process), source}, 'warn');
			}
		}

		if (this.registry.cursor !== cursor) {
			this.#options.onChange();
			// Saved immediately, because requests that crash servers may bring down all instances within a short time.
			void this.save();
		}

		return changed;
	}

	#relay(fingerprint: SuspectFingerprint): void {
		this.#unrelayed.add(fingerprint);
		this.#relayTimer ??= setTimeout(() => {
			this.#relayTimer = undefined;
			this.#broadcast([...this.#unrelayed].flatMap(known => this.registry.get(known) ?? []));
			this.#unrelayed.clear();
		}, relayDelayMilliseconds);
	}

	#runSync(): void {
		this.registry.deleteExpired(this.#now());
		this.#logQuarantinedParts();
		void this.save();
		const known = this.registry.sharedRecords;
		if (known.length === 0) {
			return;
		}

		const first = this.#syncOffset >= known.length ? 0 : this.#syncOffset;
		this.#syncOffset = first + recordsPerSync;
		this.#broadcast(known.slice(first, this.#syncOffset));
	}

	/** Logs the parts that became quarantined since the last round; other instances may still have reported exits that explain theirs until then. */
	#logQuarantinedParts(): void {
		const quarantined = new Set([...this.registry.quarantined(this.#now())].filter(fingerprint => isPromptPart(fingerprint)));
		for (const fingerprint of quarantined) {
			if (!this.#quarantinedParts.has(fingerprint)) {
				const processes = this.registry.get(fingerprint)?.ends.map(({process}) => process);
				this.#options.log('prompt-part-quarantined', {fingerprint, processes, source: 'control'}, 'warn');
			}
		}

		this.#quarantinedParts = quarantined;
	}

	#broadcast(records: readonly SuspectRecord[]): void {
		const {others, ask} = this.#options;
		if (records.length === 0) {
			return;
		}

		for (const other of others()) {
			void ask(other, {type: 'suspects', records, isRelayed: true}, askTimeoutMilliseconds);
		}
	}

	async #fetchAll(): Promise<void> {
		const {others, ask} = this.#options;
		await Promise.all(others().map(async other => {
			const reply = await ask(other, {type: 'all-suspects'}, askTimeoutMilliseconds) as SuspectsMessage | undefined;
			if (reply !== undefined) {
				this.receive(reply);
			}
		}));
	}

	#now(): number {
		return this.#options.clock.now().getTime();
	}
}
