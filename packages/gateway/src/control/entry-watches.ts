import {type Clock, type InstanceId} from '@valehitch/core';
import {type SuspectBook} from '@valehitch/routing';
import {isEnded, type RunningRollout} from '../rollouts/rollout.js';
import {type ServerDirectory} from '../servers/server-directory.js';
import {type ConfigurationDocument} from './gateway-state.js';
import {type KnownEntry, nearEntriesOf} from './near-entries.js';
import {type WatchMessage, type WatchReply} from './peer-message.js';
import {digestOfRollouts} from './rollout-clock.js';

/** What entry instances are told. */
export type EntryNews = {
	readonly configuration: ConfigurationDocument | undefined;
	readonly rollouts: readonly RunningRollout[];
	/** When the state was last known to be the newest, in milliseconds on the monotonic clock; undefined where it never was. */
	readonly confirmedAt: number | undefined;
	/** The hosts of the control instances. */
	readonly hosts: readonly InstanceId[];
};

/** What the answers to entry instances need. */
export type EntryWatchesOptions = {
	readonly clock: Clock;
	/** Names this run of the process. */
	readonly run: string;
	readonly directory: ServerDirectory;
	/** The requests that end servers. */
	readonly suspects: Pick<SuspectBook, 'cursor' | 'changedSince'>;
	readonly news: () => EntryNews;
};

/** How long a question waits for news, in milliseconds: well below the time after which the lease of the asker would end. */
const watchMilliseconds = 800;
/** The same while a roll-out runs, since the counters for its judgement come with the questions. */
const rolloutWatchMilliseconds = 400;
/** An entry instance that asked nothing for this long is gone, in milliseconds; it asks more than once a second. */
const entryGoneMilliseconds = 3000;

/**
Answers the questions of entry instances: at once where there is news for them, else when there is, or after a while.

@example
```ts
const watches = new EntryWatches(options);
const reply = await watches.answer(entry, message);
```
*/
export class EntryWatches {
	readonly #options: EntryWatchesOptions;
	readonly #waiting = new Set<() => void>();
	readonly #entries = new Map<InstanceId, KnownEntry & {readonly at: number}>();

	constructor(options: EntryWatchesOptions) {
		this.#options = options;
	}

	/** Lets all questions be answered now. */
	wake(): void {
		for (const wake of this.#waiting) {
			wake();
		}
	}

	/**
	Answers a question.

	@param from The entry instance.
	@param watch What it has.
	@returns What it lacks.
	*/
	async answer(from: InstanceId, watch: WatchMessage): Promise<WatchReply> {
		const {clock, run, directory, suspects, news} = this.#options;
		const arrived = clock.monotonic();
		const asker = {instance: from, zone: watch.zone};
		this.#entries.set(from, {...asker, at: arrived});
		if (!watch.isUrgent && !this.#hasNews(watch)) {
			await this.#nextNews();
		}

		const now = clock.monotonic();
		const {configuration, rollouts, confirmedAt, hosts} = news();
		return {
			run,
			cursor: directory.cursor,
			records: directory.changedSince(watch.run === run ? watch.cursor : 0),
			suspectCursor: suspects.cursor,
			suspects: suspects.changedSince(watch.run === run ? watch.suspectCursor : 0),
			configuration: isNewer(configuration, watch) ? configuration : undefined,
			rollouts,
			rolloutDigest: digestOfRollouts(rollouts),
			held: now - arrived,
			confirmedAgo: confirmedAt === undefined ? undefined : now - confirmedAt,
			hosts,
			entries: nearEntriesOf(asker, this.#presentEntries(now)),
		};
	}

	#hasNews(watch: WatchMessage): boolean {
		const {run, directory, suspects, news} = this.#options;
		const {configuration, rollouts} = news();
		return watch.run !== run
			|| watch.cursor < directory.cursor
			|| watch.suspectCursor < suspects.cursor
			|| isNewer(configuration, watch)
			|| watch.rolloutDigest !== digestOfRollouts(rollouts);
	}

	async #nextNews(): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = (): void => {
				clearTimeout(timer);
				this.#waiting.delete(wake);
				resolve();
			};

			const {rollouts} = this.#options.news();
			const isRunning = rollouts.some(rollout => !isEnded(rollout));
			const timer = setTimeout(wake, isRunning ? rolloutWatchMilliseconds : watchMilliseconds);
			this.#waiting.add(wake);
		});
	}

	#presentEntries(now: number): readonly KnownEntry[] {
		for (const [instance, {at}] of this.#entries) {
			if (now - at > entryGoneMilliseconds) {
				this.#entries.delete(instance);
			}
		}

		return [...this.#entries.values()];
	}
}

function isNewer(configuration: ConfigurationDocument | undefined, {configurationVersion = Number.NEGATIVE_INFINITY}: WatchMessage): boolean {
	return configuration !== undefined && configuration.version > configurationVersion;
}
