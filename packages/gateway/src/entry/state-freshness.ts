import {type Clock, type SuspensionDetector} from '@valehitch/core';
import {decideByAge} from '@valehitch/routing';
import {type ConfigurationLease} from './configuration-lease.js';

/** For how long an instance goes by what control instances have told it without asking again, in milliseconds. */
export type FreshnessLimits = {
	/** By the configuration; shorter than the time within which a change has to apply. */
	readonly configuration: number;
	/** By the states of servers; shorter than the time within which the shutdown of one has to be known. */
	readonly servers: number;
};

/** Options of {@linkcode StateFreshness}. */
export type StateFreshnessOptions = {
	readonly clock: Clock;
	readonly suspension: Pick<SuspensionDetector, 'lastWake'>;
	readonly limits: FreshnessLimits;
	readonly lease: Pick<ConfigurationLease, 'age' | 'wasConfirmed'>;
	/** Asks the control instances to reply at once. */
	readonly confirmState: () => void;
	/** Waits for the next reply of a control instance, up to a timeout in milliseconds. */
	readonly nextReply: (timeout: number) => Promise<void>;
	/** Called when no current state came, with the ages of what is known. */
	readonly onStale: (ages: StateAges) => void;
};

/** The ages of what an instance knows, in milliseconds. */
export type StateAges = {
	readonly configuration: number;
	readonly servers: number;
};

/** How long a current state is waited for, in milliseconds: longer than a busy instance takes to write a poll and to read its reply. */
const askMilliseconds = 1000;
/** The share of a request's time that it waits at most. */
const waitShare = 0.25;

/**
Tracks how old the state is by which an entry instance decides, and asks the control instances for a current one before it is too old.

An instance that gets no reply asks once and then goes on by what it knows, so that one that is cut off keeps serving.

@example
```ts
const freshness = new StateFreshness(options);
await freshness.refresh(8000);
```
*/
export class StateFreshness {
	readonly #options: StateFreshnessOptions;
	/** The latest time at which a control instance that has reported its servers was confirmed, in milliseconds on the monotonic clock. */
	#serversAt = Number.NEGATIVE_INFINITY;
	/** Until when a current state is waited for, in milliseconds on the monotonic clock. */
	#askedUntil = Number.NEGATIVE_INFINITY;
	#isAsking = false;
	#wasAsked = false;

	constructor(options: StateFreshnessOptions) {
		this.#options = options;
	}

	/** The ages of what is known now. */
	get ages(): StateAges {
		const {clock, suspension, lease} = this.#options;
		const now = clock.monotonic();
		return {
			configuration: lease.age(now),
			servers: this.#serversAt < suspension.lastWake() ? Number.POSITIVE_INFINITY : now - this.#serversAt,
		};
	}

	/**
	Records a reply of a control instance. One that is cut off from the leader may miss the shutdowns of servers, so that its replies do not count.

	@param confirmedAt The time at which the leader confirmed its state, in milliseconds on the monotonic clock; undefined if that is not known.
	*/
	recordReply(confirmedAt: number | undefined): void {
		this.#serversAt = Math.max(this.#serversAt, confirmedAt ?? Number.NEGATIVE_INFINITY);
		this.#wasAsked &&= !this.#isCurrent;
	}

	/**
	Waits until the state is current, if it is not; returns at once if it was asked for before and has not come.

	@param timeLeft The time that the request has, in milliseconds, of which a share is waited at most.
	*/
	async refresh(timeLeft: number): Promise<void> {
		// Right after a start, requests wait for the first configuration instead.
		if (this.#options.lease.wasConfirmed && this.#mustAsk) {
			void this.#ask();
			await this.#waitUntilCurrent(Math.min(this.#askedUntil, this.#options.clock.monotonic() + (waitShare * timeLeft)));
		}
	}

	get #isCurrent(): boolean {
		return !this.#mustAskAfter(false);
	}

	get #mustAsk(): boolean {
		return this.#mustAskAfter(this.#wasAsked);
	}

	#mustAskAfter(wasAsked: boolean): boolean {
		const {limits} = this.#options;
		const {configuration, servers} = this.ages;
		const asked = {permitsFor: Number.POSITIVE_INFINITY, wasAsked};
		const decisions = [
			decideByAge({
				...asked, use: 'permission', age: configuration, currentFor: limits.configuration,
			}),
			decideByAge({
				...asked, use: 'server', age: servers, currentFor: limits.servers,
			}),
		];
		return decisions.includes('ask');
	}

	async #ask(): Promise<void> {
		if (this.#isAsking) {
			return;
		}

		this.#isAsking = true;
		this.#askedUntil = this.#options.clock.monotonic() + askMilliseconds;
		this.#options.confirmState();
		await this.#waitUntilCurrent(this.#askedUntil);
		this.#isAsking = false;
		if (!this.#isCurrent) {
			this.#wasAsked = true;
			this.#options.onStale(this.ages);
		}
	}

	async #waitUntilCurrent(until: number): Promise<void> {
		const {clock, nextReply} = this.#options;
		while (!this.#isCurrent && clock.monotonic() < until) {
			await nextReply(until - clock.monotonic());
		}
	}
}
