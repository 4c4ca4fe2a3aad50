/**
Counts the requests in progress, so that a graceful shutdown can wait for them.

@example
```ts
counter.begin();
try { ... } finally { counter.end(); }
```
*/
export class RequestCounter {
	#inProgress = 0;
	#answersDueAt: number | undefined;
	readonly #idleListeners: Array<() => void> = [];

	/** The number of requests in progress. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Whether a graceful shutdown has begun. */
	get stopping(): boolean {
		return this.#answersDueAt !== undefined;
	}

	/** When requests without an answer are given one, in milliseconds of the monotonic clock; undefined before a graceful shutdown. */
	get answersDueAt(): number | undefined {
		return this.#answersDueAt;
	}

	/** Adds a request. */
	begin(): void {
		this.#inProgress++;
	}

	/** Removes a request. */
	end(): void {
		this.#inProgress--;
		if (this.#inProgress === 0) {
			for (const resolve of this.#idleListeners.splice(0)) {
				resolve();
			}
		}
	}

	/**
	Begins a graceful shutdown and waits until no request is in progress.

	@param answersDueAt When requests without an answer are given one, in milliseconds of the monotonic clock.
	*/
	async stop(answersDueAt: number): Promise<void> {
		this.#answersDueAt = answersDueAt;
		if (this.#inProgress === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#idleListeners.push(resolve);
		});
	}
}
