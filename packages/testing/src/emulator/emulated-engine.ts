import {type PromptSegment, PromptCache} from './prompt-cache.js';

/** A model that an engine runs. */
export type EmulatedModel = {
	readonly id: string;
	/** The factor by which a step and the prefill take longer than with the smallest model. */
	readonly slowdownFactor: number;
	/** The maximum difficulty, from 0 to 1, at which the responses are correct. */
	readonly capability: number;
};

/** The performance parameters of an engine. */
export type EngineParameters = {
	/** The maximum number of requests in the running batch. */
	readonly slots: number;
	/** The maximum number of queued requests; further requests are rejected while all slots are in use. */
	readonly queueLimit: number;
	/** The capacity of the prompt cache, in tokens. */
	readonly cacheTokens: number;
	/** The prefill rate of the smallest model, in prompt tokens per millisecond. */
	readonly prefillTokensPerMillisecond: number;
	/** The duration of a step with the smallest model. */
	readonly stepMilliseconds: number;
	/** The maximum number of prompt tokens prefilled in one step, so that a long prompt does not stall decoding of the other requests. */
	readonly prefillChunkTokens: number;
};

/** A request to an engine. */
export type EngineRequest = {
	readonly id: number;
	readonly model: EmulatedModel;
	/** The leading segments of the prompt, which other prompts may share, in order. */
	readonly segments: readonly PromptSegment[];
	/** The number of prompt tokens after the shared segments. */
	readonly uniqueTokens: number;
	readonly outputTokens: number;
};

/** The prompt tokens of a request. */
export type PromptTokens = {
	/** Tokens found in the prompt cache. */
	readonly cached: number;
	readonly prefilled: number;
};

/** Callbacks for the progress of requests. */
export type EngineCallbacks = {
	/** Called at the first output token. */
	readonly onFirstToken: (id: number, prompt: PromptTokens) => void;
	/** Called at the last output token. */
	readonly onComplete: (id: number) => void;
};

type RunningRequest = {
	readonly request: EngineRequest;
	readonly cachedTokens: number;
	readonly prefillTokens: number;
	remainingPrefillTokens: number;
	/** Output tokens that are still to be generated. */
	remainingOutputTokens: number;
};

/**
An inference engine in simulated time, with continuous batching, chunked prefill, a prompt cache and a bounded queue.

It is calibrated to the parameters of a data sheet, not to a real engine, and it does not preempt requests when memory runs out.

@example
```ts
const engine = new EmulatedEngine(parameters, {onFirstToken, onComplete});
engine.tryEnqueue(request);
const milliseconds = engine.step();
```
*/
export class EmulatedEngine {
	readonly #parameters: EngineParameters;
	readonly #events: EngineCallbacks;
	readonly #cache: PromptCache;
	readonly #queue: EngineRequest[] = [];
	readonly #running = new Map<number, RunningRequest>();

	constructor(parameters: EngineParameters, events: EngineCallbacks) {
		this.#parameters = parameters;
		this.#events = events;
		this.#cache = new PromptCache(parameters.cacheTokens);
	}

	/** Whether any request is running or queued. */
	get isBusy(): boolean {
		return this.#running.size > 0 || this.#queue.length > 0;
	}

	/**
	Queues a request.

	@param request The request.
	@returns Whether the request was queued; false if all slots and the queue are full.
	*/
	tryEnqueue(request: EngineRequest): boolean {
		if (this.#queue.length >= this.#parameters.queueLimit && this.#running.size >= this.#parameters.slots) {
			return false;
		}

		this.#queue.push(request);
		return true;
	}

	/**
	Removes a request that its caller has cancelled.

	@param id The id of the request.
	*/
	cancel(id: number): void {
		this.#running.delete(id);
		const index = this.#queue.findIndex(request => request.id === id);
		if (index !== -1) {
			this.#queue.splice(index, 1);
		}
	}

	/**
	Drops all requests, as a crash does; the prompt cache is kept.

	@returns The ids of the dropped requests.
	*/
	crash(): readonly number[] {
		const dropped = [...this.#running.keys(), ...this.#queue.map(({id}) => id)];
		this.#running.clear();
		this.#queue.length = 0;
		return dropped;
	}

	/**
	Runs one step: prefills a chunk of the prompts in order of arrival, and decodes one token of each prefilled request.

	@returns The duration of the step in milliseconds; call `finishStep` when it has passed.
	*/
	step(): number {
		this.#admit();
		const {stepMilliseconds, prefillTokensPerMillisecond, prefillChunkTokens} = this.#parameters;
		let pace = 1;
		let remainingChunk = prefillChunkTokens;
		let prefillMilliseconds = 0;
		for (const running of this.#running.values()) {
			pace = Math.max(pace, running.request.model.slowdownFactor);
			const prefilled = Math.min(remainingChunk, running.remainingPrefillTokens);
			remainingChunk -= prefilled;
			running.remainingPrefillTokens -= prefilled;
			prefillMilliseconds += prefilled * running.request.model.slowdownFactor / prefillTokensPerMillisecond;
		}

		return (stepMilliseconds * pace) + prefillMilliseconds;
	}

	/** Emits the tokens of the step that `step` started. */
	finishStep(): void {
		for (const [id, running] of this.#running) {
			if (running.remainingPrefillTokens > 0) {
				continue;
			}

			if (running.remainingOutputTokens === running.request.outputTokens) {
				this.#events.onFirstToken(id, {cached: running.cachedTokens, prefilled: running.prefillTokens});
			}

			running.remainingOutputTokens--;
			if (running.remainingOutputTokens <= 0 && this.#running.delete(id)) {
				this.#events.onComplete(id);
			}
		}
	}

	#admit(): void {
		while (this.#running.size < this.#parameters.slots) {
			const request = this.#queue.shift();
			if (request === undefined) {
				return;
			}

			let sharedTokens = 0;
			for (const {tokens} of request.segments) {
				sharedTokens += tokens;
			}

			const cachedTokens = this.#cache.access(request.model.id, request.segments);
			const prefillTokens = sharedTokens + request.uniqueTokens - cachedTokens;
			this.#running.set(request.id, {
				request, cachedTokens, prefillTokens, remainingPrefillTokens: prefillTokens, remainingOutputTokens: request.outputTokens,
			});
		}
	}
}
