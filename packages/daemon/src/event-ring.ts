import {type TimelineEvent} from '@valehitch/core';

/** A page of the latest events. */
export type EventPage = {
	/** In the order in which they happened here. */
	readonly events: readonly TimelineEvent[];
	/** What to pass as `after` for the events that come next. */
	readonly next: number;
	/** How many of the events asked for are no longer kept. */
	readonly dropped: number;
};

const defaultCapacity = 2000;

/**
Keeps the latest events of this process, for operators who look at it live; the log keeps all.

@example
```ts
const ring = new EventRing();
ring.add(event);
ring.after(0).events; // [event]
```
*/
export class EventRing {
	readonly #capacity: number;
	readonly #events: TimelineEvent[] = [];
	/** How many events came in all. */
	#count = 0;

	/**
	Makes an empty ring.

	@param capacity How many events it keeps; 2000 by default.
	*/
	constructor(capacity: number = defaultCapacity) {
		this.#capacity = capacity;
	}

	/**
	Adds an event; the oldest goes where the ring is full.

	@param event The event.
	*/
	add(event: TimelineEvent): void {
		this.#events[this.#count % this.#capacity] = event;
		this.#count++;
	}

	/**
	Reads the events that came after a number of them.

	@param number How many events to pass over, as the last page's `next` said; a number from before a restart gives all.
	@returns The events that are still kept.
	*/
	after(number: number): EventPage {
		const wanted = number > this.#count ? 0 : number;
		const first = Math.max(wanted, this.#count - this.#capacity);
		const events: TimelineEvent[] = [];
		for (let index = first; index < this.#count; index++) {
			const event = this.#events[index % this.#capacity];
			if (event !== undefined) {
				events.push(event);
			}
		}

		return {events, next: this.#count, dropped: first - wanted};
	}
}
