import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import process from 'node:process';
import {whenResponseCloses} from './when-response-closes.js';

/** How many requests may wait on a connection before it is no longer read, if too many wait on all connections together. */
const maximumWaiting = 16;
/** How many requests may wait on all connections together before those with many of them are no longer read. */
const maximumWaitingTogether = 1024;

type WaitingRequest = {
	readonly response: ServerResponse;
	readonly resolve: (canAnswer: boolean) => void;
};

/**
Lets the requests of a connection be handled one after the other. A caller may send several without waiting (RFC 9112, section 9.3.2), but the answer to one of them may close the connection, and those behind it then must not have been run.

The body of a request that waits is not read. A connection is read on while requests wait on it, as far as their number allows it, since the end of a connection that is not read is not seen.

@example
```ts
const turns = new ConnectionTurns();
if (await turns.next(response)) {
	response.end();
}
```
*/
export class ConnectionTurns {
	/** What waits on the connections on which a request is unanswered. */
	readonly #waiting = new WeakMap<Socket, WaitingRequest[]>();
	/** The number of requests that wait on all connections. */
	#count = 0;

	/**
	Waits until all earlier requests of the connection have been answered.

	@param response The response to a request that has just arrived.
	@returns Whether the request can be answered; false if the connection has been closed meanwhile.
	*/
	async next(response: ServerResponse): Promise<boolean> {
		const {socket} = response.req;
		const waiting = this.#waiting.get(socket);
		if (waiting === undefined) {
			this.#waiting.set(socket, []);
			this.#advanceAfter(response);
			return socket.writable;
		}

		return new Promise(resolve => {
			waiting.push({response, resolve});
			this.#count++;
			if (this.#isFull(waiting)) {
				// The parser reads on when it is done with a request.
				process.nextTick(() => socket.pause());
			}
		});
	}

	#isFull(waiting: readonly WaitingRequest[]): boolean {
		return waiting.length >= maximumWaiting && this.#count >= maximumWaitingTogether;
	}

	#advanceAfter(response: ServerResponse): void {
		whenResponseCloses(response, () => {
			this.#advance(response.req.socket);
		});
	}

	#advance(socket: Socket): void {
		const waiting = this.#waiting.get(socket) ?? [];
		const following = socket.writable ? waiting.shift() : undefined;
		if (following === undefined) {
			this.#waiting.delete(socket);
			this.#count -= waiting.length;
			for (const {resolve} of waiting) {
				resolve(false);
			}

			return;
		}

		this.#count--;
		this.#advanceAfter(following.response);
		following.resolve(true);
		if (!this.#isFull(waiting) && socket.isPaused()) {
			socket.resume();
		}
	}
}
