import {type Clock, type InstanceId, type RequestFingerprint} from '@valehitch/core';
import {SuspectBook, type SuspectRecord} from '@valehitch/routing';
import {type DecisionLog} from '../logs/decision-log.js';
import {ListSaver} from '../servers/list-saver.js';
import {type SavedList} from '../servers/saved-list.js';
import {type PeerMessage, type SuspectsMessage} from './peer-message.js';

/** What the exchange between control instances needs. */
export type SuspectNewsOptions = {
	readonly clock: Pick<Clock, 'now'>;
	readonly log: DecisionLog;
	/** The other control instances. */
	readonly others: () => readonly InstanceId[];
	/** Asks another control instance; undefined where no reply came within the timeout in milliseconds. */
	readonly ask: (to: InstanceId, message: PeerMessage, timeout: number) => Promise<unknown>;
	/** Told after each change that concerns entry instances. */
	readonly onChange: () => void;
	/** What this instance saves, so that a request stays known after the end of all processes. */
	readonly saved: SavedList<SuspectRecord>;
};

/** A record as operators read it. */
export type ListedSuspect = SuspectRecord & {
	/** Whether the disk of the instance that answers holds the record as it stands, so that it is known after the end of all processes. */
	readonly isSaved: boolean;
};

/** What became of a lifted quarantine. */
export type LiftedQuarantine = {
	/** Whether it stays lifted after the end of all processes. */
	readonly isSaved: boolean;
};

/** Reports within this time are passed on together: those of all entry instances that had requests at a server which ended. In milliseconds. */
const relayMilliseconds = 30;
/** The time between two rounds that tell the others what is known, for those that missed it behind a cut. In milliseconds. */
const roundMilliseconds = 1000;
/** The requests of one round, so that a round stays below 4 KB. */
const roundSize = 16;
const askMilliseconds = 600;
/** How long an operator's call waits for the disk, so that one that stands still hides nothing from operators. */
const diskMilliseconds = 2000;

/**
Keeps what is known of requests that end servers the same on all control instances, and on their disks.

Records are merged by their union, so that it needs no leader and no quorum: it holds in a zone that is cut off, and while there is no leader.

@example
```ts
const news = new SuspectNews(options);
news.receive({type: 'suspects', records, isRelayed: false});
```
*/
export class SuspectNews {
	readonly book = new SuspectBook();
	readonly #options: SuspectNewsOptions;
	readonly #saver: ListSaver<SuspectRecord>;
	readonly #unsent = new Set<RequestFingerprint>();
	#relayTimer: NodeJS.Timeout | undefined;
	#roundTimer: NodeJS.Timeout | undefined;
	/** Where the next round begins. */
	#nextOfRound = 0;

	constructor(options: SuspectNewsOptions) {
		this.#options = options;
		this.#saver = new ListSaver({
			current: () => ({cursor: this.book.cursor, items: this.book.told}),
			saved: options.saved,
		});
	}

	/** Starts the rounds, asks the others for what they know, takes what the run before saved and tells them; resolves once that is read. */
	async start(): Promise<void> {
		this.#roundTimer = setInterval(() => {
			this.#round();
		}, roundMilliseconds);
		void this.#askAll();
		await this.restore();
		// One of the others may have lost its disk, and have asked before this instance answered.
		this.#tellOthers(this.book.told);
	}

	stop(): void {
		clearInterval(this.#roundTimer);
		clearTimeout(this.#relayTimer);
	}

	/** Takes what the run before saved. */
	async restore(): Promise<void> {
		const records = await this.#options.saved.read();
		this.#merge(records, 'disk');
	}

	/**
	Takes what another instance tells; what an entry instance tells is passed on.

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
	Lifts the quarantine of a request, as an operator wants it; the ends so far count against it no more.

	@param fingerprint The request.
	@returns Whether it is on the disk; undefined where nothing was known of the request.
	*/
	async lift(fingerprint: RequestFingerprint): Promise<LiftedQuarantine | undefined> {
		if (!this.book.clear(fingerprint)) {
			return undefined;
		}

		this.#options.log('request-cleared', {fingerprint, source: 'operator'});
		this.#relay(fingerprint);
		this.#options.onChange();
		return {isSaved: await this.#saver.saveWithin(diskMilliseconds)};
	}

	/**
	Lists what concerns all instances, once the disk holds it.

	@returns The records; one that the disk did not take in time says so.
	*/
	async list(): Promise<readonly ListedSuspect[]> {
		await this.#saver.saveWithin(diskMilliseconds);
		const unsaved = new Set(this.book.changedSince(this.#saver.savedCursor));
		return this.book.told.map(record => ({...record, isSaved: !unsaved.has(record)}));
	}

	/** Saves what concerns others where it changed. */
	async save(): Promise<void> {
		await this.#saver.save();
	}

	#merge(records: readonly SuspectRecord[], source: string): readonly SuspectRecord[] {
		const {cursor} = this.book;
		const changed = this.book.merge(records);
		const now = this.#now();
		for (const {fingerprint, ends} of changed) {
			if (this.book.standing(fingerprint, now) === 'quarantined') {
				this.#options.log('request-quarantined', {fingerprint, processes: ends.map(({process}) => process), source}, 'warn');
			}
		}

		if (this.book.cursor !== cursor) {
			this.#options.onChange();
			// At once: the instances may end together, as one request after the other meets them.
			void this.save();
		}

		return changed;
	}

	#relay(fingerprint: RequestFingerprint): void {
		this.#unsent.add(fingerprint);
		this.#relayTimer ??= setTimeout(() => {
			this.#relayTimer = undefined;
			this.#tellOthers([...this.#unsent].flatMap(known => this.book.get(known) ?? []));
			this.#unsent.clear();
		}, relayMilliseconds);
	}

	#round(): void {
		this.book.forget(this.#now());
		void this.save();
		const known = this.book.told;
		if (known.length === 0) {
			return;
		}

		const first = this.#nextOfRound >= known.length ? 0 : this.#nextOfRound;
		this.#nextOfRound = first + roundSize;
		this.#tellOthers(known.slice(first, this.#nextOfRound));
	}

	#tellOthers(records: readonly SuspectRecord[]): void {
		const {others, ask} = this.#options;
		if (records.length === 0) {
			return;
		}

		for (const other of others()) {
			void ask(other, {type: 'suspects', records, isRelayed: true}, askMilliseconds);
		}
	}

	async #askAll(): Promise<void> {
		const {others, ask} = this.#options;
		await Promise.all(others().map(async other => {
			const reply = await ask(other, {type: 'all-suspects'}, askMilliseconds) as SuspectsMessage | undefined;
			if (reply !== undefined) {
				this.receive(reply);
			}
		}));
	}

	#now(): number {
		return this.#options.clock.now().getTime();
	}
}
