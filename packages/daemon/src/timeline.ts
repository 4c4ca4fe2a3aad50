import {
	type Clock, HybridClock, type HybridTimestamp, type InstanceId, type TimelineEvent, type TimelineEventName, type TimelineSubject, type ZoneId,
} from '@valehitch/core';

/** What a time line needs to stamp its events. */
export type TimelineOptions = {
	readonly clock: Clock;
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	/** Takes each event; the daemon writes it to its log. */
	readonly write: (event: TimelineEvent) => void;
};

/** A stamp further ahead of the own clock than this many milliseconds comes from a broken clock and is passed over. */
const mostAheadMilliseconds = 60_000;

/**
Records this process's part of the time line of events.

@example
```ts
timeline.record('server-joined', {server});
```
*/
export class Timeline {
	readonly #options: TimelineOptions;
	readonly #stamps: HybridClock;

	constructor(options: TimelineOptions) {
		this.#options = options;
		this.#stamps = new HybridClock(options.clock);
	}

	/**
	Records an event.

	@param event The event's name.
	@param subject What it is about.
	*/
	record(event: TimelineEventName, subject: TimelineSubject = {}): void {
		const {instance, zone, write} = this.#options;
		write({
			...subject, event, stamp: this.#stamps.next(), instance, zone,
		});
	}

	/** The stamp that goes with a message to another process. */
	stamp(): HybridTimestamp {
		return this.#stamps.next();
	}

	/**
	Takes note of a stamp that came with a message, unless it is a minute or more ahead of the own clock.

	@param stamp The stamp.
	*/
	observe(stamp: HybridTimestamp): void {
		if (stamp.wall - this.#options.clock.now().getTime() < mostAheadMilliseconds) {
			this.#stamps.observe(stamp);
		}
	}
}
