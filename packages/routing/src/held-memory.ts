/** The limits of {@linkcode HeldMemory}. */
export type HeldMemoryOptions = {
	/** The bytes that the instance may hold for all its requests together; no limit by default. */
	readonly totalBytes?: number | undefined;
	/** The bytes of one answer that may wait for its caller while its server goes on sending; 1 MiB by default, in which a whole generated answer fits. */
	readonly answerBytes?: number;
};

/** The bytes that are held for one request or one caller. */
export type HeldBytes = {
	/** Replaces the number of bytes. */
	readonly set: (bytes: number) => void;
	/** Adds to the number of bytes. */
	readonly add: (bytes: number) => void;
};

const defaultAnswerBytes = 1_048_576;
/** The share of all bytes up to which answers are buffered; the rest is kept for new requests, so that slow callers keep no others out. */
const answerShare = 0.5;
/** The bytes of an answer that are collected even if no room is left; most answers are shorter. */
const smallAnswerBytes = 16_384;
/** The share of the room that is left up to which an answer is collected. The more answers grow at the same time, the less each of them gets, and some room always remains. */
const collectedShare = 0.25;

/**
Counts the bytes that an instance holds for its requests, and decides what else it may hold: whether the server of an answer may go on sending while the caller reads slowly, and whether a request fits.

The load it answers is that of callers and servers that read slowly, and of servers that send without end: without a buffer, a server is not read while its caller is not, and cuts off the answer; without a bound, the instance ends for its memory.

@example
```ts
const memory = new HeldMemory({totalBytes: 64_000_000});
const held = memory.open();
held.set(20_000);
memory.mayBuffer(20_000); // true
```
*/
export class HeldMemory {
	readonly #totalBytes: number | undefined;
	readonly #answerBytes: number;
	#held = 0;

	constructor({totalBytes, answerBytes = defaultAnswerBytes}: HeldMemoryOptions = {}) {
		this.#totalBytes = totalBytes;
		this.#answerBytes = answerBytes;
	}

	/** The bytes that are held. */
	get held(): number {
		return this.#held;
	}

	/** The bytes that may be held in addition; infinite without a limit. */
	get room(): number {
		return this.#totalBytes === undefined ? Number.POSITIVE_INFINITY : Math.max(0, this.#totalBytes - this.#held);
	}

	/**
	Begins to count the bytes of a request or a caller, from 0. Set them to 0 to end it.

	@returns The count.
	*/
	open(): HeldBytes {
		let own = 0;
		const set = (bytes: number): void => {
			this.#held += bytes - own;
			own = bytes;
		};

		return {
			set,
			add(bytes) {
				set(own + bytes);
			},
		};
	}

	/**
	Checks whether the server of an answer may go on sending while its caller reads slowly. Without a limit on all bytes it may not, so that nothing is buffered.

	@param answerBytes The bytes of the answer that the caller has not read, which are counted already.
	@returns Whether it may.
	*/
	mayBuffer(answerBytes: number): boolean {
		return this.#totalBytes !== undefined && answerBytes <= this.#answerBytes && this.#held <= answerShare * this.#totalBytes;
	}

	/**
	Checks whether an answer may be collected further: a small one always, a longer one up to a share of the room that is left, so that however many servers send without end, they take neither all of the room nor that of one another.

	@param answerBytes The bytes that are held for the answer, which are counted already.
	@returns Whether it may.
	*/
	mayCollect(answerBytes: number): boolean {
		return answerBytes <= smallAnswerBytes || answerBytes <= collectedShare * this.room;
	}
}
