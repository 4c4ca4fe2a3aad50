/** An answer whose connection is watched; the connection is detached once the answer has ended. */
export type WatchedAnswer = {
	readonly socket?: {readonly bytesRead: number} | undefined;
	readonly destroy: () => void;
};

/** The interval of the checks, in milliseconds; most answers end sooner. */
const checkMilliseconds = 250;
/** What a server may send beside the body, in bytes. */
const freeBytes = 1024 * 1024;
/** What it may send for each byte of the body, so that chunks of one byte are possible. */
const maximumFactor = 8;

/**
Closes the connection of an answer if its server goes on sending bytes that add nothing to the body, such as the size of a chunk that never ends.

@example
```ts
const watch = new OverheadWatch(message);
message.on('data', chunk => watch.add(chunk.byteLength));
watch.stop();
```
*/
export class OverheadWatch {
	readonly #answer: WatchedAnswer;
	readonly #onExcess: ((reason: string) => void) | undefined;
	readonly #bytesBefore: number;
	readonly #timer: NodeJS.Timeout;
	#bodyBytes = 0;

	/**
	@param answer The answer, none of whose body has been read.
	@param onExcess Called with the reason before the connection is closed.
	*/
	constructor(answer: WatchedAnswer, onExcess?: (reason: string) => void) {
		this.#answer = answer;
		this.#onExcess = onExcess;
		this.#bytesBefore = answer.socket?.bytesRead ?? 0;
		this.#timer = setInterval(() => {
			this.#check();
		}, checkMilliseconds);
	}

	/**
	Counts bytes of the body.

	@param bytes The number of bytes.
	*/
	add(bytes: number): void {
		this.#bodyBytes += bytes;
	}

	/** Ends the checks. */
	stop(): void {
		clearInterval(this.#timer);
	}

	#check(): void {
		const received = (this.#answer.socket?.bytesRead ?? this.#bytesBefore) - this.#bytesBefore;
		if (received > freeBytes + (maximumFactor * this.#bodyBytes)) {
			this.stop();
			this.#onExcess?.(`${received} bytes for a body of ${this.#bodyBytes}`);
			this.#answer.destroy();
		}
	}
}
