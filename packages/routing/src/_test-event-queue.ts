import {StartTimeHeap, type StartTimeItem} from './_start-time-heap.js';

/** An event in simulated time. */
export type SimulatedEvent = StartTimeItem & {
	readonly run: () => void;
};

/** Runs events in simulated time, those of the same time in the order in which they were scheduled. */
export class EventQueue {
	readonly #events = new StartTimeHeap<SimulatedEvent>();
	#now = 0;
	#count = 0;

	/** Milliseconds from the start. */
	get now(): number {
		return this.#now;
	}

	/** Schedules an event at a time, in milliseconds from the start. */
	schedule(at: number, run: () => void): SimulatedEvent {
		const event: SimulatedEvent = {
			startTime: at, arrival: this.#count++, heapIndex: -1, run,
		};
		this.#events.insertOrUpdate(event);
		return event;
	}

	/** Removes an event that has not run. */
	cancel(event: SimulatedEvent | undefined): void {
		if (event !== undefined && event.heapIndex !== -1) {
			this.#events.remove(event);
		}
	}

	/** Runs all events, also those that are scheduled meanwhile. */
	run(): void {
		for (let event = this.#events.first; event !== undefined; event = this.#events.first) {
			this.#events.remove(event);
			this.#now = event.startTime;
			event.run();
		}
	}
}
