/** A step of a request that is counted. */
export type RunStep = 'overdue' | 'pauses' | 'escalations' | 'handovers';

/** What became of a request until it ended; times in milliseconds since its arrival. */
export type RunProgressFields = Readonly<Record<RunStep, number>> & {
	/** When it was first dispatched; undefined if it was not. */
	readonly dispatchedAfter: number | undefined;
	/** How long it was held before, in milliseconds. */
	readonly held: number;
	/** When its first event came; undefined if none did. */
	readonly firstEventAfter: number | undefined;
	/** When its last event came; undefined if none did. */
	readonly lastEventAfter: number | undefined;
	/** The number of its events. */
	readonly events: number;
};

/**
Collects what became of a request, so that the line of its end can say why it did not end in time.

@example
```ts
const progress = new RunProgress(arrivedAt);
progress.recordDispatch(now);
progress.recordEvents(3, now);
progress.fields.events; // 3
```
*/
export class RunProgress {
	readonly #arrivedAt: number;
	readonly #steps: Record<RunStep, number> = {
		overdue: 0, pauses: 0, escalations: 0, handovers: 0,
	};

	#dispatchedAt: number | undefined;
	#held = 0;
	#firstEventAt: number | undefined;
	#lastEventAt: number | undefined;
	#events = 0;

	/**
	@param arrivedAt When the request arrived, in milliseconds on the monotonic clock.
	*/
	constructor(arrivedAt: number) {
		this.#arrivedAt = arrivedAt;
	}

	/** What is known so far. */
	get fields(): RunProgressFields {
		return {
			...this.#steps,
			dispatchedAfter: this.#since(this.#dispatchedAt),
			held: Math.round(this.#held),
			firstEventAfter: this.#since(this.#firstEventAt),
			lastEventAfter: this.#since(this.#lastEventAt),
			events: this.#events,
		};
	}

	/**
	Records how long the request was held before its first send.

	@param milliseconds The time.
	*/
	recordHold(milliseconds: number): void {
		this.#held = milliseconds;
	}

	/**
	Records a send; only the first one counts.

	@param now Milliseconds on the monotonic clock.
	*/
	recordDispatch(now: number): void {
		this.#dispatchedAt ??= now;
	}

	/**
	Records events that have come.

	@param count Their number.
	@param now Milliseconds on the monotonic clock.
	*/
	recordEvents(count: number, now: number): void {
		this.#events += count;
		this.#firstEventAt ??= now;
		this.#lastEventAt = now;
	}

	/**
	Counts a step.

	@param step A second send beside a late one, a pause that was decided on, a larger model, or a stream that was given to another server.
	*/
	recordStep(step: RunStep): void {
		this.#steps[step]++;
	}

	#since(at: number | undefined): number | undefined {
		return at === undefined ? undefined : Math.round(at - this.#arrivedAt);
	}
}
