import {type TimelineEvent} from '@valehitch/core';

/** A page of recent events. */
export type EventPage = {
	/** The events, in the order in which they were recorded. */
	readonly events: readonly TimelineEvent[];
	/** The value of `after` that requests the following events. */
	readonly next: number;
	/** The number of requested events that have already been overwritten. */
	readonly dropped: number;
};

const defaultCapacity = 2000;

/**
A ring buffer of the most recent events of this process, which operators can query. The log contains all events.

@example
```ts
const ring = new EventRing();
ring.add(event);
ring.readAfter(0).events; // [event]
```
*/
export class EventRing {
	readonly #capacity: number;
	readonly #events: TimelineEvent[] = [];
	/** The number of events added since the start. */
	#addedCount = 0;

	/**
	Creates an empty buffer.

	@param capacity The maximum number of retained events; 2000 by default.
	*/
	constructor(capacity: number = defaultCapacity) {
		this.#capacity = capacity;
	}

	/**
	Adds an event, and overwrites the oldest one if the buffer is full.

	@param event The event.
	*/
	add(event: TimelineEvent): void {
		this.#events[this.#addedCount % this.#capacity] = event;
		this.#addedCount++;
	}

	/**
	Returns the retained events after a position.

	@param position The number of events to skip, which is `next` of the previous page. A position beyond the last event stems from before a restart and returns all retained events.
	@returns The page of events.
	*/
	readAfter(position: number): EventPage {
		const start = position > this.#addedCount ? 0 : position;
		const first = Math.max(start, this.#addedCount - this.#capacity);
		const events: TimelineEvent[] = [];
		for (let index = first; index < this.#addedCount; index++) {
			const event = this.#events[index % this.#capacity];
			if (event !== undefined) {
				events.push(event);
			}
		}

		return {events, next: this.#addedCount, dropped: first - start};
	}
}
