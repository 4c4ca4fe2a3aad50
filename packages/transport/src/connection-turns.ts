import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import process from 'node:process';
import {whenResponseCloses} from './when-response-closes.js';

/** How many requests may wait on a connection before it is no longer read. */
const maximumWaiting = 16;

type WaitingRequest = {
	readonly response: ServerResponse;
	readonly resolve: (canAnswer: boolean) => void;
};

/**
Lets the requests of a connection be handled one after the other. A caller may send several without waiting (RFC 9112, section 9.3.2), but the answer to one of them may close the connection, and those behind it then must not have been run.

The body of a request that waits is not read.

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
			if (waiting.length === maximumWaiting) {
				// The parser reads on when it is done with a request.
				process.nextTick(() => socket.pause());
			}
		});
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
			for (const {resolve} of waiting) {
				resolve(false);
			}

			return;
		}

		this.#advanceAfter(following.response);
		following.resolve(true);
		if (waiting.length < maximumWaiting && socket.isPaused()) {
			socket.resume();
		}
	}
}
