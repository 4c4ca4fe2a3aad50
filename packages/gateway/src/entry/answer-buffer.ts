import {type ServerResponse} from 'node:http';
import {type HeldBytes, type HeldMemory} from '@valehitch/routing';
import {whenResponseCloses} from '@valehitch/transport';

/** Options of {@linkcode AnswerBuffer}. */
export type AnswerBufferOptions = {
	readonly response: ServerResponse;
	readonly memory: HeldMemory;
	/** Called when the server of the answer may not go on sending. */
	readonly onFull: () => void;
};

/**
Counts the bytes of an answer that its caller has not read yet, until the response is closed.

@example
```ts
const buffer = new AnswerBuffer({response, memory, onFull});
if (!response.write(bytes) && !buffer.mayGrow()) {
	message.pause();
}
```
*/
export class AnswerBuffer {
	readonly #options: AnswerBufferOptions;
	#held: HeldBytes | undefined;

	constructor(options: AnswerBufferOptions) {
		this.#options = options;
	}

	/**
	Counts the unread bytes, and checks whether the server may go on sending.

	@returns Whether it may.
	*/
	mayGrow(): boolean {
		const {memory, onFull} = this.#options;
		const unread = this.recordUnread();
		const mayGrow = memory.mayBuffer(unread);
		if (!mayGrow) {
			onFull();
		}

		return mayGrow;
	}

	/**
	Counts the unread bytes.

	@returns Their number.
	*/
	recordUnread(): number {
		const {response, memory} = this.#options;
		const unread = response.writableLength;
		if (this.#held === undefined && unread > 0) {
			const held = memory.open();
			this.#held = held;
			whenResponseCloses(response, () => {
				held.set(0);
			});
		}

		if (!response.closed && !response.req.socket.closed) {
			this.#held?.set(unread);
		}

		return unread;
	}
}
