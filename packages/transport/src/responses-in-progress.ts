import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {abortResponse} from './abort-response.js';
import {whenResponseCloses} from './when-response-closes.js';

/**
The responses of a server that their callers have not read to the end.

@example
```ts
const responses = new ResponsesInProgress();
responses.add(response);
responses.endWithConnection(response);
```
*/
export class ResponsesInProgress {
	readonly #responses = new Set<ServerResponse>();

	/** The number of responses. */
	get size(): number {
		return this.#responses.size;
	}

	/** Whether a response was written to its end and its caller has yet to read a part of it. */
	get isCompleteOneUnread(): boolean {
		for (const {writableEnded, writableLength} of this.#responses) {
			if (writableEnded && writableLength > 0) {
				return true;
			}
		}

		return false;
	}

	/**
	Adds the response to a request that has arrived.

	@param response The response.
	*/
	add(response: ServerResponse): void {
		this.#responses.add(response);
	}

	/**
	Removes a response once its connection has no more use for it: a slow caller may still have to read what is buffered.

	@param response The response, whose request has been handled.
	*/
	endWithConnection(response: ServerResponse): void {
		whenResponseCloses(response, () => {
			this.#responses.delete(response);
		});
	}

	/** The responses behind which another one waits on their connection. */
	get followed(): ReadonlySet<ServerResponse> {
		const last = new Set(this.#lastOnConnections());
		return new Set([...this.#responses].filter(response => !last.has(response)));
	}

	/** Asks the callers whose answers have not begun to close their connections, each with the last answer on its connection: those behind an answer that closes it would be lost. */
	closeConnections(): void {
		for (const response of this.#lastOnConnections()) {
			response.shouldKeepAlive = false;
		}
	}

	/** Breaks off all responses. */
	abort(): void {
		for (const response of this.#responses) {
			abortResponse(response);
		}
	}

	#lastOnConnections(): Iterable<ServerResponse> {
		const lastOf = new Map<Socket, ServerResponse>();
		for (const response of this.#responses) {
			lastOf.set(response.req.socket, response);
		}

		return lastOf.values();
	}
}
