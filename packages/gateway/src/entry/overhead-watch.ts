import {type IncomingMessage} from 'node:http';

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
	readonly #message: IncomingMessage;
	readonly #bytesBefore: number;
	readonly #timer: NodeJS.Timeout;
	#bodyBytes = 0;

	constructor(message: IncomingMessage) {
		this.#message = message;
		this.#bytesBefore = message.socket.bytesRead;
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
		if (this.#message.socket.bytesRead - this.#bytesBefore > freeBytes + (maximumFactor * this.#bodyBytes)) {
			this.stop();
			this.#message.destroy();
		}
	}
}
