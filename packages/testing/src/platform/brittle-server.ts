import {setTimeout as delay} from 'node:timers/promises';
import {type FakeBackendServerOptions} from './fake-backend-server.js';

/** Options of {@linkcode BrittleServer}. */
export type BrittleServerOptions = {
	readonly id: string;
	/** The number of requests that it processes concurrently; it rejects the others. */
	readonly slots: number;
	/** How long it processes a request, in milliseconds. */
	readonly workMilliseconds: number;
	/** The rejections in a second beyond which it falls over. */
	readonly rejectionsPerSecond: number;
};

const windowMilliseconds = 1000;

/**
A backend server that says how many requests it can reject in a second, and counts how often it would have fallen over.

@example
```ts
const brittle = new BrittleServer({id: 'i-1', slots: 4, workMilliseconds: 400, rejectionsPerSecond: 3});
await startBackends(t, {deployment, servers: [{...brittle.behaviour, service: 'labels'}]});
```
*/
export class BrittleServer {
	/** When it would have fallen over, in milliseconds on the monotonic clock. */
	readonly falls: number[] = [];
	/** The number of requests that it served. */
	served = 0;
	readonly #options: BrittleServerOptions;
	#busy = 0;
	#rejections: number[] = [];

	constructor(options: BrittleServerOptions) {
		this.#options = options;
	}

	/** The options of the server that it is run by. */
	get behaviour(): Pick<FakeBackendServerOptions, 'id' | 'slots' | 'answer' | 'notices'> {
		const {id, slots, workMilliseconds, rejectionsPerSecond} = this.#options;
		return {
			id,
			slots,
			notices: () => ({'Server-Brittle': String(rejectionsPerSecond)}),
			answer: () => {
				if (this.#busy >= slots) {
					this.#reject();
					return {isNotExecuted: true};
				}

				void this.#work();
				return {firstEventDelay: workMilliseconds};
			},
		};
	}

	async #work(): Promise<void> {
		this.#busy++;
		await delay(this.#options.workMilliseconds);
		this.#busy--;
		this.served++;
	}

	#reject(): void {
		const now = performance.now();
		this.#rejections = [...this.#rejections.filter(at => at > now - windowMilliseconds), now];
		if (this.#rejections.length > this.#options.rejectionsPerSecond) {
			this.falls.push(now);
			this.#rejections = [];
		}
	}
}
