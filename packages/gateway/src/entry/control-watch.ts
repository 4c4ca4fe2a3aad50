import {type Clock, type InstanceId, type SuspensionWatch} from '@valehitch/core';
import {type WatchMessage, type WatchReply} from '../control/peer-message.js';
import {type DecisionLog} from '../logs/decision-log.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';

/** What the questions of an entry instance bring, with the time for which they are sure. */
export type ControlNews = {
	readonly source: InstanceId;
	readonly reply: WatchReply;
	/** Whether the reply holds all that the source knows, since its process is another one than at the last reply. */
	readonly isWhole: boolean;
	/** The time at which the source's state was surely the newest, in milliseconds on the own monotonic clock; undefined where it is not known. */
	readonly confirmedAt: number | undefined;
};

/** What the watch on control needs. */
export type ControlWatchOptions = {
	readonly clock: Clock;
	readonly suspension: Pick<SuspensionWatch, 'lastWake'>;
	readonly log: DecisionLog;
	readonly metrics: GatewayMetrics;
	/** The control instances that the settings name. */
	readonly seeds: () => readonly InstanceId[];
	/** What goes with a question, besides what is remembered for each source. */
	readonly question: (host: InstanceId) => Pick<WatchMessage, 'zone' | 'configurationVersion' | 'rolloutDigest' | 'evidence'>;
	/** Asks a control instance; undefined where no reply came within the timeout in milliseconds. */
	readonly ask: (to: InstanceId, message: WatchMessage, timeout: number) => Promise<WatchReply | undefined>;
	readonly onNews: (news: ControlNews) => void;
	/** Told of a control instance that answered before and does not any more. */
	readonly onLost: (source: InstanceId) => void;
	/** Waits, in milliseconds. */
	readonly wait: (milliseconds: number) => Promise<void>;
};

type Source = {
	run: string;
	cursor: number;
	suspectCursor: number;
	isAnswering: boolean;
	failures: number;
};

/** As many control instances are asked at the same time; enough that one answers while any two are lost. */
const sourcesAtOnce = 3;
/** A control instance holds a question for up to 800 ms; the rest is for the way. */
const watchTimeoutMilliseconds = 1400;
/** The pause after a question without a reply. */
const retryMilliseconds = 100;
/** The pause between two questions, which bounds what a storm of changes costs. */
const pauseMilliseconds = 20;

/**
Keeps asking a few control instances for news, and moves on to others where one does not answer.

@example
```ts
const watch = new ControlWatch(options);
watch.start();
```
*/
export class ControlWatch {
	readonly #options: ControlWatchOptions;
	readonly #sources = new Map<InstanceId, Source>();
	readonly #inUse = new Set<InstanceId>();
	#hosts: readonly InstanceId[] = [];
	#isStopped = false;

	constructor(options: ControlWatchOptions) {
		this.#options = options;
	}

	/** Starts to ask. */
	start(): void {
		for (let index = 0; index < sourcesAtOnce; index++) {
			void this.#ask();
		}
	}

	stop(): void {
		this.#isStopped = true;
	}

	/** Asks the control instances that are asked anyway for a confirmation at once, since the questions in progress may be held. */
	confirm(): void {
		for (const host of this.#inUse) {
			void this.#askOnce(host, {isUrgent: true});
		}
	}

	async #ask(): Promise<void> {
		while (!this.#isStopped) {
			const host = this.#next();
			if (host === undefined) {
				await this.#options.wait(retryMilliseconds);
				continue;
			}

			this.#inUse.add(host);
			while (!this.#isStopped && await this.#askOnce(host)) {
				await this.#options.wait(pauseMilliseconds);
			}

			this.#inUse.delete(host);
			await this.#options.wait(retryMilliseconds);
		}
	}

	async #askOnce(host: InstanceId, {isUrgent = false} = {}): Promise<boolean> {
		const {clock, suspension, question, ask, onNews, metrics, log} = this.#options;
		const source = this.#sourceOf(host);
		const sentAt = clock.monotonic();
		const reply = await ask(host, {
			type: 'watch', isUrgent, run: source.run, cursor: source.cursor, suspectCursor: source.suspectCursor, ...question(host),
		}, watchTimeoutMilliseconds);
		metrics.watches.inc({result: reply === undefined ? 'lost' : 'answered'});
		if (reply === undefined) {
			source.failures++;
			if (source.isAnswering) {
				log('dependency-lost', {dependency: 'control', control: host, timeout: watchTimeoutMilliseconds}, 'warn');
				this.#options.onLost(host);
			}

			source.isAnswering = false;
			return false;
		}

		if (!source.isAnswering) {
			log('dependency-regained', {
				dependency: 'control', control: host, run: reply.run, failuresBefore: source.failures,
			});
		}

		const isWhole = reply.run !== source.run;
		Object.assign(source, {
			run: reply.run, cursor: reply.cursor, suspectCursor: reply.suspectCursor, isAnswering: true, failures: 0,
		});
		this.#hosts = reply.hosts as readonly InstanceId[];
		// The reply left no earlier than the question and the time that it was held, so this is the earliest time of the confirmation.
		// Where the machine was suspended since the question, nobody knows how old the reply is.
		const isAgeKnown = reply.confirmedAgo !== undefined && sentAt >= suspension.lastWake();
		const confirmedAt = isAgeKnown ? sentAt + reply.held - reply.confirmedAgo : undefined;
		onNews({
			source: host, reply, isWhole, confirmedAt,
		});
		return true;
	}

	/** The control instance that is not asked yet and failed least often of late. */
	#next(): InstanceId | undefined {
		const known = [...new Set([...this.#hosts, ...this.#options.seeds()])];
		const free = known.filter(host => !this.#inUse.has(host));
		return free.toSorted((one, other) => this.#sourceOf(one).failures - this.#sourceOf(other).failures)[0];
	}

	#sourceOf(host: InstanceId): Source {
		const known = this.#sources.get(host);
		if (known !== undefined) {
			return known;
		}

		const source: Source = {
			run: '', cursor: 0, suspectCursor: 0, isAnswering: false, failures: 0,
		};
		this.#sources.set(host, source);
		return source;
	}
}
