import {type IncomingMessage} from 'node:http';

/** Options of {@linkcode ReadPace}. */
export type ReadPaceOptions = {
	/** Whether the answer may be read on; by default always. */
	readonly mayResume?: () => boolean;
};

/** The bytes of an answer after which it is not read on in a turn of the event loop. A poll reads up to 32 chunks of a connection otherwise, each of up to 64 KiB. */
const turnBytes = 32 * 1024;
/** What a chunk counts beside its bytes, since it takes time even with a single one, in bytes. */
const chunkBytes = 64;

/**
Bounds how much of an answer is read in a turn of the event loop, so that a server that sends fast or without end does not delay the other connections.

@example
```ts
const pace = new ReadPace(message);
message.on('data', chunk => pace.add(chunk.byteLength));
```
*/
export class ReadPace {
	readonly #message: IncomingMessage;
	readonly #mayResume: () => boolean;
	#bytes = 0;
	#immediate: NodeJS.Immediate | undefined;

	/**
	@param message The answer.
	@param options When it may be read on.
	*/
	constructor(message: IncomingMessage, {mayResume = () => true}: ReadPaceOptions = {}) {
		this.#message = message;
		this.#mayResume = mayResume;
	}

	/**
	Counts the bytes of a chunk that was read. Once a turn's bytes are used up, over as many turns as that takes, the answer is paused until the other connections have been polled.

	@param bytes The number of bytes.
	*/
	add(bytes: number): void {
		this.#bytes += bytes + chunkBytes;
		if (this.#bytes < turnBytes) {
			return;
		}

		this.#message.pause();
		this.#immediate ??= setImmediate(() => {
			this.#immediate = undefined;
			this.#bytes = 0;
			if (this.#mayResume()) {
				this.#message.resume();
			}
		});
	}

	/** Ends it; the answer is left as it is. */
	stop(): void {
		clearImmediate(this.#immediate);
		this.#immediate = undefined;
	}
}
