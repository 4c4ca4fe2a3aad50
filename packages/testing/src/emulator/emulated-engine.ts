import {type EmulatedPart, PromptCache} from './prompt-cache.js';

/** A model as an engine runs it. */
export type EmulatedModel = {
	readonly id: string;
	/** How much longer a step and a prompt take than with the smallest model. */
	readonly pace: number;
	/** The hardness, from 0 to 1, up to which its answers are right. */
	readonly ability: number;
};

/** The figures of an engine. */
export type EngineSheet = {
	/** Requests that it works on at once. */
	readonly slots: number;
	/** Requests that may wait beside them; further ones are turned away. */
	readonly queue: number;
	/** Tokens of prompts that it keeps. */
	readonly memoryTokens: number;
	/** Prompt tokens of the smallest model that are read in a millisecond. */
	readonly readTokens: number;
	/** The time of a step with the smallest model, in milliseconds. */
	readonly stepMilliseconds: number;
	/** The most prompt tokens that are read in one step, so that a long prompt does not stop the answers beside it. */
	readonly chunkTokens: number;
};

/** A request as an engine sees it. */
export type EngineWork = {
	readonly id: number;
	readonly model: EmulatedModel;
	/** The parts that other prompts may share, in their order. */
	readonly parts: readonly EmulatedPart[];
	/** The tokens of the prompt after them. */
	readonly ownTokens: number;
	readonly outputTokens: number;
};

/** Told of the progress of requests. */
export type EngineEvents = {
	/** The first token of an answer; with the prompt tokens that were kept, and those that were read. */
	readonly onFirst: (id: number, prompt: {readonly kept: number; readonly read: number}) => void;
	/** The last token of an answer. */
	readonly onDone: (id: number) => void;
};

type Running = {
	readonly work: EngineWork;
	readonly kept: number;
	readonly toRead: number;
	unread: number;
	/** Tokens that are still to be generated. */
	left: number;
};

/**
An engine in simulated time: batches, reads prompts in chunks beside the answers in progress, keeps parts of prompts, bounds its queue.

Calibrated to the figures of a sheet, not to a real engine; it does not put requests back for want of memory.

@example
```ts
const engine = new EmulatedEngine(sheet, {onFirst, onDone});
engine.offer(work);
const milliseconds = engine.step();
```
*/
export class EmulatedEngine {
	readonly #sheet: EngineSheet;
	readonly #events: EngineEvents;
	readonly #cache: PromptCache;
	readonly #waiting: EngineWork[] = [];
	readonly #running = new Map<number, Running>();

	constructor(sheet: EngineSheet, events: EngineEvents) {
		this.#sheet = sheet;
		this.#events = events;
		this.#cache = new PromptCache(sheet.memoryTokens);
	}

	/** Whether there is anything to do. */
	get isBusy(): boolean {
		return this.#running.size > 0 || this.#waiting.length > 0;
	}

	/**
	Offers a request.

	@param work The request.
	@returns Whether it is taken; false where the queue is full.
	*/
	offer(work: EngineWork): boolean {
		if (this.#waiting.length >= this.#sheet.queue && this.#running.size >= this.#sheet.slots) {
			return false;
		}

		this.#waiting.push(work);
		return true;
	}

	/**
	Ends a request whose caller has left.

	@param id The request.
	*/
	cancel(id: number): void {
		this.#running.delete(id);
		const index = this.#waiting.findIndex(work => work.id === id);
		if (index !== -1) {
			this.#waiting.splice(index, 1);
		}
	}

	/**
	Drops all requests and all that is kept, as a crash does.

	@returns The requests that were dropped.
	*/
	crash(): readonly number[] {
		const dropped = [...this.#running.keys(), ...this.#waiting.map(({id}) => id)];
		this.#running.clear();
		this.#waiting.length = 0;
		return dropped;
	}

	/**
	Works for one step: a chunk of the prompts in the order of their arrival, and a token of each answer in progress.

	@returns How long the step takes, in milliseconds; call `finishStep` after it.
	*/
	step(): number {
		this.#admit();
		const {stepMilliseconds, readTokens, chunkTokens} = this.#sheet;
		let pace = 1;
		let chunk = chunkTokens;
		let reading = 0;
		for (const running of this.#running.values()) {
			pace = Math.max(pace, running.work.model.pace);
			const read = Math.min(chunk, running.unread);
			chunk -= read;
			running.unread -= read;
			reading += read * running.work.model.pace / readTokens;
		}

		return (stepMilliseconds * pace) + reading;
	}

	/** Hands out the tokens of the step that has passed. */
	finishStep(): void {
		for (const [id, running] of this.#running) {
			if (running.unread > 0) {
				continue;
			}

			if (running.left === running.work.outputTokens) {
				this.#events.onFirst(id, {kept: running.kept, read: running.toRead});
			}

			running.left--;
			if (running.left <= 0 && this.#running.delete(id)) {
				this.#events.onDone(id);
			}
		}
	}

	#admit(): void {
		while (this.#running.size < this.#sheet.slots) {
			const work = this.#waiting.shift();
			if (work === undefined) {
				return;
			}

			let shared = 0;
			for (const {tokens} of work.parts) {
				shared += tokens;
			}

			const kept = this.#cache.read(work.model.id, work.parts);
			const toRead = shared + work.ownTokens - kept;
			this.#running.set(work.id, {
				work, kept, toRead, unread: toRead, left: work.outputTokens,
			});
		}
	}
}
