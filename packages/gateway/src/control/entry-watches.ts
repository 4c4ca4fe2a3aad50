import {type Clock, type InstanceId, type ZoneId} from '@valehitch/core';
import {type SuspectRegistry} from '@valehitch/routing';
import {ConfigurationEncodings} from '../configuration/configuration-encodings.js';
import {isEnded, type RolloutWithAge} from '../rollouts/rollout.js';
import {type Evacuations} from '../servers/evacuations.js';
import {type ServerDirectory} from '../servers/server-directory.js';
import {type ConfigurationDocument} from './gateway-state.js';
import {type ActiveEntry, orderByName, selectLoadSharingPeers} from './select-load-sharing-peers.js';
import {type WatchMessage, type WatchReply} from './peer-message.js';
import {type LimitedServers} from './limited-servers.js';
import {type RateLeaseGrantor} from './rate-lease-grantor.js';
import {FullServerList} from './full-server-list.js';
import {NoticePacer} from './notice-pacer.js';
import {RelayLists} from './relay-lists.js';
import {digestRollouts} from './rollout-clock.js';

/** The state that is sent to entry instances. */
export type EntryUpdate = {
	readonly configuration: ConfigurationDocument | undefined;
	readonly rollouts: readonly RolloutWithAge[];
	readonly evacuations: Evacuations;
	/** When the state was last confirmed to be current, in milliseconds on the monotonic clock, or `undefined` if it has not been confirmed. */
	readonly confirmedAt: number | undefined;
	/** The hosts of the control instances. */
	readonly hosts: readonly InstanceId[];
};

/** Options of the entry watches. */
export type EntryWatchesOptions = {
	readonly clock: Clock;
	/** Identifies this run of the process. */
	readonly run: string;
	/** The availability zone of this control instance. */
	readonly zone: ZoneId;
	readonly directory: ServerDirectory;
	/** The requests suspected of crashing servers. */
	readonly suspects: Pick<SuspectRegistry, 'cursor' | 'changedSince'>;
	readonly currentUpdate: () => EntryUpdate;
	/** Grants sends to cold servers. */
	readonly leases: Pick<RateLeaseGrantor, 'grantsFor'>;
	/** The servers that have named a rate limit. */
	readonly limitedServers: Pick<LimitedServers, 'cursor' | 'changedSince' | 'leases'>;
};

/** How long a poll waits for an update, in milliseconds; well below the lease duration of the entry instance. */
const longPollMilliseconds = 800;
/** The poll duration while a rollout is running; shorter because polls carry the counters by which the rollout is evaluated. */
const rolloutLongPollMilliseconds = 400;
/** An entry instance that has not polled for this long, in milliseconds, is considered gone; a running one polls more than once a second. */
const entryTimeoutMilliseconds = 3000;

/**
Answers the long polls of entry instances: immediately if there is an update for the instance, otherwise on the next update or when the poll times out.

@example
```ts
const watches = new EntryWatches(options);
const reply = await watches.answer(entry, message);
```
*/
export class EntryWatches {
	readonly #options: EntryWatchesOptions;
	readonly #pendingPolls = new Set<() => void>();
	readonly #relayLists = new RelayLists();
	readonly #pacer = new NoticePacer();
	readonly #fullList: FullServerList;
	readonly #encodings = new ConfigurationEncodings();
	#newsTimer: NodeJS.Timeout | undefined;
	readonly #entries = new Map<InstanceId, ActiveEntry & {readonly at: number}>();
	/** The entries in the order of their names; undefined after one was added or removed. */
	#activeList: readonly ActiveEntry[] | undefined;
	/** The peers of the entries in the list, as far as they have been asked for. */
	readonly #peers = new Map<InstanceId, readonly InstanceId[]>();

	constructor(options: EntryWatchesOptions) {
		this.#options = options;
		this.#fullList = new FullServerList(options.directory);
	}

	/** Answers all pending polls now. */
	answerPending(): void {
		this.#encodings.record(this.#options.currentUpdate().configuration);
		clearTimeout(this.#newsTimer);
		this.#newsTimer = undefined;
		this.#pacer.recordAnswers(this.#pendingPolls.size, this.#options.clock.monotonic());
		for (const wake of this.#pendingPolls) {
			wake();
		}
	}

	/** Answers all pending polls because servers have changed, at once unless polls have just been answered. */
	tellNews(): void {
		const pause = this.#pacer.pause(this.#options.clock.monotonic());
		if (pause === 0) {
			this.answerPending();
			return;
		}

		this.#newsTimer ??= setTimeout(() => {
			this.answerPending();
		}, pause);
	}

	/**
	Answers a poll.

	@param from The entry instance.
	@param watch The poll, which names the state that the entry instance has.
	@returns The changes since that state.
	*/
	async answer(from: InstanceId, watch: WatchMessage): Promise<WatchReply> {
		const {clock, run, zone, directory, suspects, currentUpdate, leases, limitedServers} = this.#options;
		const receivedAt = clock.monotonic();
		const entry = {instance: from, zone: watch.zone};
		if (!this.#entries.has(from)) {
			this.#activeList = undefined;
		}

		this.#entries.set(from, {...entry, at: receivedAt});
		this.#relayLists.recordLinks(from, {isCutOff: watch.isCutOff === true});
		if (!watch.isUrgent && !this.#hasUrgentUpdate(watch)) {
			await this.#waitForNews(watch);
		}

		const now = clock.monotonic();
		const {configuration, rollouts, evacuations, confirmedAt, hosts} = currentUpdate();
		const entries = this.#activeEntries(now);
		const {revision: relayRevision, relays, cutOffRelays} = this.#relayLists.listFor(entry, entries);
		const hasRelays = watch.run === run && watch.relayRevision === relayRevision;
		return {
			run,
			cursor: directory.cursor,
			...this.#serversFor(watch, now),
			suspectCursor: suspects.cursor,
			suspects: suspects.changedSince(watch.run === run ? watch.suspectCursor : 0),
			...this.#configurationFor(watch, configuration),
			rollouts,
			rolloutDigest: digestRollouts(rollouts),
			evacuations,
			rateLeases: leases.grantsFor({entry, entries, now}),
			limitCursor: limitedServers.cursor,
			serverLimits: limitedServers.changedSince(watch.run === run ? watch.limitCursor : undefined, now),
			limitLeases: limitedServers.leases.grantsFor({entry, entries, now}),
			held: now - receivedAt,
			confirmedAgo: confirmedAt === undefined ? undefined : now - confirmedAt,
			hosts,
			entryCount: entries.length,
			entries: this.#peersOf(entry, entries),
			relayRevision,
			relays: hasRelays ? undefined : relays,
			cutOffRelays: hasRelays || cutOffRelays.length === 0 ? undefined : cutOffRelays,
			zone,
			takesWorkReports: true,
		};
	}

	#serversFor(watch: WatchMessage, now: number): Pick<WatchReply, 'records' | 'serverRows'> {
		const {run, directory} = this.#options;
		const isFull = watch.run !== run;
		const {rows, records} = isFull && watch.takesServerRows === true
			? this.#fullList.current(now)
			: {rows: undefined, records: directory.changedSince(isFull ? 0 : watch.cursor)};
		return {records: records.map(record => directory.withColdTime(record, now)), ...(rows !== undefined && {serverRows: rows})};
	}

	#configurationFor(watch: WatchMessage, configuration: ConfigurationDocument | undefined): Pick<WatchReply, 'configuration' | 'encodedConfiguration'> {
		if (watch.takesEncodedConfiguration !== true) {
			return {configuration: isNewer(configuration, watch) ? configuration : undefined};
		}

		this.#encodings.record(configuration);
		return {configuration: undefined, encodedConfiguration: this.#encodings.since(watch.configurationVersion)};
	}

	#hasUrgentUpdate(watch: WatchMessage): boolean {
		const {run, currentUpdate, suspects} = this.#options;
		const {configuration, rollouts, evacuations, confirmedAt} = currentUpdate();
		// Entry instances ignore the rollouts of an unconfirmed state, and would ask again at once.
		const hasOtherRollouts = confirmedAt !== undefined && watch.rolloutDigest !== digestRollouts(rollouts);
		return watch.run !== run
			|| watch.suspectCursor < suspects.cursor
			|| isNewer(configuration, watch)
			|| hasOtherRollouts
			|| (watch.evacuationRevision ?? Number.POSITIVE_INFINITY) < evacuations.revision;
	}

	#hasNews(watch: WatchMessage): boolean {
		const {directory, limitedServers} = this.#options;
		return watch.cursor < directory.cursor
			|| (watch.limitCursor ?? Number.POSITIVE_INFINITY) < limitedServers.cursor;
	}

	async #waitForNews(watch: WatchMessage): Promise<void> {
		const now = this.#options.clock.monotonic();
		if (!this.#hasNews(watch)) {
			await this.#waitForUpdate();
		} else if (this.#pacer.pause(now) > 0) {
			this.tellNews();
			await this.#waitForUpdate();
		} else {
			this.#pacer.recordAnswers(1, now);
		}
	}

	async #waitForUpdate(): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = (): void => {
				clearTimeout(timer);
				this.#pendingPolls.delete(wake);
				resolve();
			};

			const {rollouts} = this.#options.currentUpdate();
			const isRunning = rollouts.some(rollout => !isEnded(rollout));
			const timer = setTimeout(wake, isRunning ? rolloutLongPollMilliseconds : longPollMilliseconds);
			this.#pendingPolls.add(wake);
		});
	}

	#activeEntries(now: number): readonly ActiveEntry[] {
		for (const [instance, {at}] of this.#entries) {
			if (now - at > entryTimeoutMilliseconds) {
				this.#entries.delete(instance);
				this.#relayLists.forget(instance);
				this.#activeList = undefined;
			}
		}

		if (this.#activeList === undefined) {
			this.#activeList = orderByName([...this.#entries.values()]);
			this.#peers.clear();
		}

		return this.#activeList;
	}

	#peersOf(entry: ActiveEntry, entries: readonly ActiveEntry[]): readonly InstanceId[] {
		const peers = this.#peers.get(entry.instance) ?? selectLoadSharingPeers(entry, entries);
		this.#peers.set(entry.instance, peers);
		return peers;
	}
}

function isNewer(configuration: ConfigurationDocument | undefined, {configurationVersion = Number.NEGATIVE_INFINITY}: WatchMessage): boolean {
	return configuration !== undefined && configuration.version > configurationVersion;
}
