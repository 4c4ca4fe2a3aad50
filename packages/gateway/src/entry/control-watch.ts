import {type Clock, type InstanceId, type SuspensionDetector} from '@valehitch/core';
import {type WatchMessage, type WatchReply} from '../control/peer-message.js';
import {type DecisionLog} from '../logs/decision-log.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';

/** A reply of a control instance, with the time for which it confirms the state. */
export type ControlUpdate = {
	readonly source: InstanceId;
	readonly reply: WatchReply;
	/** Whether the reply holds the full state of the source rather than the changes; true if its process restarted since the last reply. */
	readonly isFullState: boolean;
	/** The latest time at which the state of the source is known to have been current, in milliseconds on the local monotonic clock; undefined if unknown. */
	readonly confirmedAt: number | undefined;
	/** The earliest time at which the reply may have been sent, in milliseconds on the local monotonic clock; undefined if the machine was suspended meanwhile. */
	readonly sentAt: number | undefined;
};

/** Options of {@linkcode ControlWatch}. */
export type ControlWatchOptions = {
	readonly clock: Clock;
	readonly suspension: Pick<SuspensionDetector, 'lastWake'>;
	readonly log: DecisionLog;
	readonly metrics: GatewayMetrics;
	/** The control instances listed in the settings. */
	readonly seeds: () => readonly InstanceId[];
	/** Returns the fields of a watch request, other than the position that is tracked for each source. */
	readonly watchFields: (host: InstanceId) => Pick<WatchMessage, 'zone' | 'configurationVersion' | 'rolloutDigest' | 'evacuationRevision' | 'evidence' | 'serverLimits' | 'isCutOff'>;
	/** Sends a watch request to a control instance; resolves to undefined if no reply arrived within the timeout in milliseconds. */
	readonly ask: (to: InstanceId, message: WatchMessage, timeout: number) => Promise<WatchReply | undefined>;
	readonly onUpdate: (update: ControlUpdate) => void;
	/** Called when a control instance stops replying. */
	readonly onLost: (source: InstanceId) => void;
	/** Waits for a number of milliseconds. */
	readonly wait: (milliseconds: number) => Promise<void>;
};

type Source = {
	run: string;
	cursor: number;
	suspectCursor: number;
	limitCursor: number;
	relayRevision: number | undefined;
	isAnswering: boolean;
	failures: number;
};

/** The number of control instances that are watched at the same time; one still replies if any two are lost. */
const parallelSources = 3;
/** The timeout of a watch request. A control instance holds a request for up to 800 ms; the rest allows for network latency. */
const watchTimeoutMilliseconds = 1400;
/** The delay after a watch request that got no reply. */
const retryMilliseconds = 100;
/** The delay between two watch requests, which limits the cost of a burst of changes. */
const pauseMilliseconds = 20;
/** The time from a poll to its reply, without the time that it is held, above which it is logged; on a calm deployment it takes some milliseconds. */
const lateTransitMilliseconds = 500;
const millisecondsPerSecond = 1000;

/**
Watches a few control instances for changes by long polling, and moves on to others when one does not reply.

@example
```ts
const watch = new ControlWatch(options);
watch.start();
```
*/
export class ControlWatch {
	readonly #options: ControlWatchOptions;
	readonly #sources = new Map<InstanceId, Source>();
	readonly #watched = new Set<InstanceId>();
	#hosts: readonly InstanceId[] = [];
	#isStopped = false;
	/** How late the last timer between two polls was, in milliseconds. */
	#timerLate = 0;

	constructor(options: ControlWatchOptions) {
		this.#options = options;
	}

	/** Starts watching. */
	start(): void {
		for (let index = 0; index < parallelSources; index++) {
			void this.#pollContinuously();
		}
	}

	stop(): void {
		this.#isStopped = true;
	}

	/** Requests an immediate confirmation from the watched control instances, since the requests in progress may be held. */
	requestConfirmation(): void {
		for (const host of this.#watched) {
			void this.#poll(host, {isUrgent: true});
		}
	}

	async #pollContinuously(): Promise<void> {
		while (!this.#isStopped) {
			const host = this.#chooseHost();
			if (host === undefined) {
				await this.#options.wait(retryMilliseconds);
				continue;
			}

			this.#watched.add(host);
			while (!this.#isStopped && await this.#poll(host)) {
				await this.#pause();
			}

			this.#watched.delete(host);
			await this.#options.wait(retryMilliseconds);
		}
	}

	async #poll(host: InstanceId, {isUrgent = false} = {}): Promise<boolean> {
		const {clock, suspension, watchFields, ask, onUpdate, metrics, log} = this.#options;
		const source = this.#sourceOf(host);
		const sentAt = clock.monotonic();
		const reply = await ask(host, {
			type: 'watch',
			isUrgent,
			run: source.run,
			cursor: source.cursor,
			suspectCursor: source.suspectCursor,
			limitCursor: source.limitCursor,
			relayRevision: source.relayRevision,
			takesServerRows: true,
			takesEncodedConfiguration: true,
			...watchFields(host),
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

		this.#recordTransit(host, clock.monotonic() - sentAt - reply.held);
		const isFullState = reply.run !== source.run;
		Object.assign(source, {
			run: reply.run,
			cursor: reply.cursor,
			suspectCursor: reply.suspectCursor,
			limitCursor: reply.limitCursor ?? 0,
			relayRevision: reply.relayRevision,
			isAnswering: true,
			failures: 0,
		});
		this.#hosts = reply.hosts as readonly InstanceId[];
		// The reply was sent no earlier than the request plus the time it was held, so this is a lower bound for the time of the confirmation.
		// If the machine was suspended after the request was sent, the age of the reply is unknown.
		const replySentAt = sentAt >= suspension.lastWake() ? sentAt + reply.held : undefined;
		const confirmedAt = replySentAt === undefined || reply.confirmedAgo === undefined ? undefined : replySentAt - reply.confirmedAgo;
		onUpdate({
			source: host, reply, isFullState, confirmedAt, sentAt: replySentAt,
		});
		return true;
	}

	#recordTransit(host: InstanceId, transit: number): void {
		this.#options.metrics.replyTransit.observe(transit / millisecondsPerSecond);
		if (transit > lateTransitMilliseconds) {
			this.#options.log('reply-late', {control: host, transit: Math.round(transit), timerLate: Math.round(this.#timerLate)}, 'warn');
		}
	}

	/** Waits between two polls, and measures how late a timer is, which tells a busy process from a slow link. */
	async #pause(): Promise<void> {
		const {clock, wait} = this.#options;
		const startedAt = clock.monotonic();
		await wait(pauseMilliseconds);
		this.#timerLate = clock.monotonic() - startedAt - pauseMilliseconds;
	}

	/** Returns the control instance with the fewest recent failures among those that are not watched. */
	#chooseHost(): InstanceId | undefined {
		const known = [...new Set([...this.#hosts, ...this.#options.seeds()])];
		const free = known.filter(host => !this.#watched.has(host));
		return free.toSorted((one, other) => this.#sourceOf(one).failures - this.#sourceOf(other).failures)[0];
	}

	#sourceOf(host: InstanceId): Source {
		const known = this.#sources.get(host);
		if (known !== undefined) {
			return known;
		}

		const source: Source = {
			run: '', cursor: 0, suspectCursor: 0, limitCursor: 0, relayRevision: undefined, isAnswering: false, failures: 0,
		};
		this.#sources.set(host, source);
		return source;
	}
}
