import {type ServerId, type ZoneId} from '@valehitch/core';
import {
	EmulatedEngine, type EngineCallbacks, type EngineParameters, type EngineRequest,
} from './emulated-engine.js';
import {type EventQueue} from './event-queue.js';

/** Options of `ScheduledEngine`. */
export type ScheduledEngineOptions = {
	readonly id: ServerId;
	readonly zone: ZoneId;
	readonly parameters: EngineParameters;
	readonly queue: EventQueue;
	readonly callbacks: EngineCallbacks;
};

/**
An emulated engine that schedules its steps in simulated time and can be slowed down or stopped temporarily.

@example
```ts
const engine = new ScheduledEngine({id, zone, parameters, queue, callbacks});
engine.tryEnqueue(request);
engine.slowDown(Number.POSITIVE_INFINITY); // the ids of the dropped requests
engine.recover();
```
*/
export class ScheduledEngine {
	readonly id: ServerId;
	readonly zone: ZoneId;
	readonly #engine: EmulatedEngine;
	readonly #queue: EventQueue;
	#isStepping = false;
	#slowdownFactor = 1;

	constructor({id, zone, parameters, queue, callbacks}: ScheduledEngineOptions) {
		this.id = id;
		this.zone = zone;
		this.#queue = queue;
		this.#engine = new EmulatedEngine(parameters, callbacks);
	}

	/** Whether the engine is stopped and accepts no connections. */
	get isStopped(): boolean {
		return this.#slowdownFactor === Number.POSITIVE_INFINITY;
	}

	/**
	Queues a request.

	@param request The request.
	@returns Whether the request was queued.
	*/
	tryEnqueue(request: EngineRequest): boolean {
		const isQueued = !this.isStopped && this.#engine.tryEnqueue(request);
		this.#scheduleStep();
		return isQueued;
	}

	/**
	Removes a request that its caller has cancelled.

	@param id The id of the request.
	*/
	cancel(id: number): void {
		this.#engine.cancel(id);
	}

	/**
	Slows the engine down, or stops it.

	@param factor The factor by which steps take longer; infinity stops the engine.
	@returns The ids of the requests dropped by the stop; empty for a finite factor.
	*/
	slowDown(factor: number): readonly number[] {
		this.#slowdownFactor = factor;
		return this.isStopped ? this.#engine.crash() : [];
	}

	/** Restores the normal speed. */
	recover(): void {
		this.#slowdownFactor = 1;
		this.#scheduleStep();
	}

	#scheduleStep(): void {
		if (this.#isStepping || this.isStopped || !this.#engine.isBusy) {
			return;
		}

		this.#isStepping = true;
		this.#queue.schedule(this.#slowdownFactor * this.#engine.step(), () => {
			this.#isStepping = false;
			this.#engine.finishStep();
			this.#scheduleStep();
		});
	}
}
