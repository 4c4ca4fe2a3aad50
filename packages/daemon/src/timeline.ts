import {
	type Clock, HybridClock, type HybridTimestamp, type InstanceId, type TimelineEvent, type TimelineEventName, type TimelineSubject, type ZoneId,
} from '@valehitch/core';

/** The dependencies of a `Timeline`. */
export type TimelineOptions = {
	readonly clock: Clock;
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	/** Called with each recorded event; the daemon writes it to its log. */
	readonly write: (event: TimelineEvent) => void;
};

/** A received timestamp that is at least this far ahead of the local clock is ignored, since the clock of its sender must be wrong. */
const maximumClockSkewMilliseconds = 60_000;

/**
Records the timeline events of this process and assigns their hybrid timestamps.

@example
```ts
timeline.record('server-joined', {server});
```
*/
export class Timeline {
	readonly #options: TimelineOptions;
	readonly #hybridClock: HybridClock;

	constructor(options: TimelineOptions) {
		this.#options = options;
		this.#hybridClock = new HybridClock(options.clock);
	}

	/**
	Records an event.

	@param event The name of the event.
	@param subject The instance, server, version or other subject that the event is about.
	*/
	record(event: TimelineEventName, subject: TimelineSubject = {}): void {
		const {instance, zone, write} = this.#options;
		write({
			...subject, event, stamp: this.#hybridClock.next(), instance, zone,
		});
	}

	/** Returns a new timestamp to attach to a message to another process. */
	nextTimestamp(): HybridTimestamp {
		return this.#hybridClock.next();
	}

	/**
	Advances the hybrid clock by the timestamp of a received message, unless that is a minute or more ahead of the local clock.

	@param stamp The received timestamp.
	*/
	observeTimestamp(stamp: HybridTimestamp): void {
		if (stamp.wall - this.#options.clock.now().getTime() < maximumClockSkewMilliseconds) {
			this.#hybridClock.observe(stamp);
		}
	}
}
