import {type ServerId, type ZoneId} from '@valehitch/core';
import {
	EmulatedEngine, type EngineEvents, type EngineSheet, type EngineWork,
} from './emulated-engine.js';
import {type EventQueue} from './event-queue.js';

/** What an engine needs to run in simulated time. */
export type SteppingEngineOptions = {
	readonly id: ServerId;
	readonly zone: ZoneId;
	readonly sheet: EngineSheet;
	readonly queue: EventQueue;
	readonly events: EngineEvents;
};

/**
An engine that takes its steps in simulated time, and can be slower or stopped for a while.

@example
```ts
const engine = new SteppingEngine({id, zone, sheet, queue, events});
engine.offer(work);
engine.slowDown(Number.POSITIVE_INFINITY); // what it dropped
engine.recover();
```
*/
export class SteppingEngine {
	readonly id: ServerId;
	readonly zone: ZoneId;
	readonly #engine: EmulatedEngine;
	readonly #queue: EventQueue;
	#isStepping = false;
	#slower = 1;

	constructor({id, zone, sheet, queue, events}: SteppingEngineOptions) {
		this.id = id;
		this.zone = zone;
		this.#queue = queue;
		this.#engine = new EmulatedEngine(sheet, events);
	}

	/** Whether it takes no connection. */
	get isStopped(): boolean {
		return this.#slower === Number.POSITIVE_INFINITY;
	}

	/**
	Offers a request.

	@param work The request.
	@returns Whether it is taken.
	*/
	offer(work: EngineWork): boolean {
		const isTaken = !this.isStopped && this.#engine.offer(work);
		this.#step();
		return isTaken;
	}

	/**
	Ends a request whose caller has left.

	@param id The request.
	*/
	cancel(id: number): void {
		this.#engine.cancel(id);
	}

	/**
	Makes its steps longer; it stops where they would take for ever.

	@param factor How many times longer.
	@returns The requests that it dropped.
	*/
	slowDown(factor: number): readonly number[] {
		this.#slower = factor;
		return this.isStopped ? this.#engine.crash() : [];
	}

	/** Makes its steps as long as they were. */
	recover(): void {
		this.#slower = 1;
		this.#step();
	}

	#step(): void {
		if (this.#isStepping || this.isStopped || !this.#engine.isBusy) {
			return;
		}

		this.#isStepping = true;
		this.#queue.add(this.#slower * this.#engine.step(), () => {
			this.#isStepping = false;
			this.#engine.finishStep();
			this.#step();
		});
	}
}
