/**
Counts the requests in progress, so that a planned stop can wait for them.

@example
```ts
counter.begin();
try { ... } finally { counter.end(); }
```
*/
export class RequestCounter {
	#inProgress = 0;
	#stopping = false;
	readonly #waiting: Array<() => void> = [];

	/** How many requests are in progress. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Whether a planned stop has begun. */
	get stopping(): boolean {
		return this.#stopping;
	}

	/** Notes that a request began. */
	begin(): void {
		this.#inProgress++;
	}

	/** Notes that a request ended. */
	end(): void {
		this.#inProgress--;
		if (this.#inProgress === 0) {
			for (const resolve of this.#waiting.splice(0)) {
				resolve();
			}
		}
	}

	/** Begins a planned stop and waits until no request is in progress. */
	async stop(): Promise<void> {
		this.#stopping = true;
		if (this.#inProgress === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#waiting.push(resolve);
		});
	}
}
