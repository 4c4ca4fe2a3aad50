import {type ServerResponse} from 'node:http';
import {type Clock} from '@valehitch/core';
import {setTimeoutAfterPoll} from '@valehitch/transport';

/** A moment of a stop at which requests look again at whether they can go on. */
export type StopMoment = 'begun' | 'answers-due';

/** Called at each moment of a stop. */
export type StopListener = (moment: StopMoment) => void;

/** The part of the grace period in which the last answers are written, in milliseconds: a process with a small share of a core has time to write them before its connections are closed. */
const answerMarginMilliseconds = 300;
/** The most of the time until the end that this may be, so that short grace periods are used too. */
const answerMarginShare = 1 / 8;

/**
The stop of an instance: when it ends, and the requests that must know of it.

@example
```ts
const stop = new InstanceStop(clock);
const unwatch = stop.watch(moment => log(moment));
stop.begin(7300);
unwatch();
```
*/
export class InstanceStop {
	readonly #clock: Pick<Clock, 'monotonic'>;
	readonly #listeners = new Set<StopListener>();
	#endsAt: number | undefined;
	#answersDueAt: number | undefined;
	#followed: ReadonlySet<ServerResponse> = new Set();
	#cancelTimer: (() => void) | undefined;

	/**
	@param clock The clock.
	*/
	constructor(clock: Pick<Clock, 'monotonic'>) {
		this.#clock = clock;
	}

	/** When all connections are closed, in milliseconds on the monotonic clock; undefined unless the instance stops. */
	get endsAt(): number | undefined {
		return this.#endsAt;
	}

	/** When every request without an answer is given one, in milliseconds on the monotonic clock; undefined unless the instance stops. */
	get answersDueAt(): number | undefined {
		return this.#answersDueAt;
	}

	/**
	Checks whether an answer closes its connection: while the instance stops, unless another request that had arrived before waits behind it.

	@param response The response.
	@returns Whether it does.
	*/
	closesConnection(response: ServerResponse): boolean {
		return this.#endsAt !== undefined && !this.#followed.has(response);
	}

	/**
	Begins the stop.

	@param endsAt When all connections are closed, in milliseconds on the monotonic clock.
	@param followed The responses behind which another one waits on their connection; none by default.
	*/
	begin(endsAt: number, followed: ReadonlySet<ServerResponse> = new Set()): void {
		this.#followed = followed;
		const left = Math.max(0, endsAt - this.#clock.monotonic());
		const margin = Math.min(answerMarginMilliseconds, answerMarginShare * left);
		this.#endsAt = endsAt;
		this.#answersDueAt = endsAt - margin;
		this.#cancelTimer = setTimeoutAfterPoll(left - margin, () => {
			this.#notify('answers-due');
		});
		this.#notify('begun');
	}

	/**
	Tells a request of the moments of the stop.

	@param listener Called at each of them.
	@returns A function that ends this.
	*/
	watch(listener: StopListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Ends the wait for the last answers. */
	close(): void {
		this.#cancelTimer?.();
	}

	#notify(moment: StopMoment): void {
		for (const listener of this.#listeners) {
			listener(moment);
		}
	}
}
