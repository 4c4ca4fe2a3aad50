import {setTimeout as delay} from 'node:timers/promises';
import {type ExecutedRequest, type FakeBackendResponse, type FakeBackendServerOptions} from './fake-backend-server.js';

/** Options of {@linkcode PromptServer}. */
export type PromptServerOptions = {
	readonly id: string;
	/** How many prompt tokens it processes in a millisecond. */
	readonly tokensPerMillisecond: number;
};

type WaitingPrompt = Pick<ExecutedRequest, 'id' | 'ended'> & {
	/** The processing time, in milliseconds. */
	readonly milliseconds: number;
	readonly finish: () => void;
};

/** More slots than any test fills: only the processing of prompts is bounded. */
const slots = 1000;
const eventGapMilliseconds = 20;

/**
A backend server that processes prompts one after another in the order of arrival, at a bounded rate, and then streams a few events. The path of a request ends with the length of its prompt in tokens. The place of a dropped request is free at once.

@example
```ts
const server = new PromptServer({id: 'i-1', tokensPerMillisecond: 24});
await startBackends(t, {deployment, servers: [{...server.behaviour, service: 'models'}]});
```
*/
export class PromptServer {
	/** The ids of the requests that it began to process. */
	readonly begun = new Set<string>();
	readonly #options: PromptServerOptions;
	#waiting: WaitingPrompt[] = [];
	/** When the processing of the first prompt began, in milliseconds on the monotonic clock. */
	#firstBeganAt = 0;

	constructor(options: PromptServerOptions) {
		this.#options = options;
	}

	/** How long a prompt that arrives now waits, in milliseconds. */
	get backlog(): number {
		let left = 0;
		for (const {milliseconds} of this.#waiting) {
			left += milliseconds;
		}

		return this.#waiting.length === 0 ? 0 : Math.max(0, left - (performance.now() - this.#firstBeganAt));
	}

	/** The options of the server that it is run by. */
	get behaviour(): Pick<FakeBackendServerOptions, 'id' | 'slots' | 'answer'> {
		return {id: this.#options.id, slots, answer: async run => this.#answer(run)};
	}

	async #answer({id, path, ended}: ExecutedRequest): Promise<FakeBackendResponse> {
		const tokens = Number(path.split('/').at(-1));
		await new Promise<void>(resolve => {
			const prompt = {
				id, milliseconds: tokens / this.#options.tokensPerMillisecond, ended, finish: resolve,
			};
			this.#waiting.push(prompt);
			ended.addEventListener('abort', () => {
				this.#waiting = this.#waiting.filter(other => other !== prompt || other === this.#waiting[0]);
				resolve();
			});
			if (this.#waiting.length === 1) {
				this.#firstBeganAt = performance.now();
				void this.#process();
			}
		});
		return {confidence: 100, events: ['one', 'two', 'three'], gap: eventGapMilliseconds};
	}

	async #process(): Promise<void> {
		for (let [first] = this.#waiting; first !== undefined; [first] = this.#waiting) {
			this.begun.add(first.id);
			const endsAt = this.#firstBeganAt + first.milliseconds;
			const end = await finishOrEnd(endsAt - performance.now(), first.ended);
			// A late timer does not lower the rate.
			this.#firstBeganAt = end === 'finished' ? endsAt : performance.now();
			this.#waiting.shift();
			first.finish();
		}
	}
}

async function finishOrEnd(milliseconds: number, signal: AbortSignal): Promise<'finished' | 'ended'> {
	try {
		await delay(Math.max(0, milliseconds), undefined, {signal});
		return 'finished';
	} catch {
		// The only reason to fail is the signal.
		return 'ended';
	}
}
