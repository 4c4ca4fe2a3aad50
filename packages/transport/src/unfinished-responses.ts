import {type ServerResponse} from 'node:http';
import {type Duplex} from 'node:stream';
import {abortResponse} from './abort-response.js';
import {whenResponseCloses} from './when-response-closes.js';

/**
Finds the response that is in progress on a connection of a caller, so that nothing else is written into it.

@example
```ts
const unfinished = new UnfinishedResponses();
unfinished.add(response);
unfinished.on(socket);
```
*/
export class UnfinishedResponses {
	/** The responses on each connection in the order of their requests; only the first one has its connection. */
	readonly #bySocket = new WeakMap<Duplex, readonly ServerResponse[]>();
	/** The connections that close behind an answer. */
	readonly #closing = new WeakSet<Duplex>();

	/**
	Adds the response to a request that has arrived.

	@param response The response.
	*/
	add(response: ServerResponse): void {
		const {socket} = response.req;
		this.#bySocket.set(socket, [...this.#unfinishedOn(socket), response]);
	}

	/**
	Returns the response that is in progress on a connection.

	@param socket The connection.
	@returns The response; undefined if there is none or it is complete.
	*/
	on(socket: Duplex): ServerResponse | undefined {
		const [first] = this.#unfinishedOn(socket);
		return first;
	}

	/**
	Waits until all requests of a connection that have arrived are answered, or the connection is closed.

	@param socket The connection.
	*/
	async whenAnswered(socket: Duplex): Promise<void> {
		let response = this.on(socket);
		// Responses that wait behind another one are not destroyed with their connection.
		while (response !== undefined && !socket.destroyed) {
			const waited = response;
			await new Promise<void>(resolve => {
				whenResponseCloses(waited, resolve);
			});
			response = this.on(socket);
		}
	}

	/**
	Closes a connection on which bytes came that are no request, behind the answers to the requests that have arrived whole, also to one that has begun. It is closed at once if there are none, or if an answer has begun and the caller has ended the connection.

	@param socket The connection.
	@returns Whether the connection closes by this call, or closes already behind an answer; `open` if no response is in progress, and nothing is done.
	*/
	closeBehindWhole(socket: Duplex): 'closes' | 'closes-already' | 'open' {
		const response = this.on(socket);
		if (response === undefined) {
			return 'open';
		}

		const last = this.#unfinishedOn(socket).findLast(({req}) => req.complete);
		if (last === undefined || (response.headersSent && socket.readableEnded)) {
			abortResponse(response);
			return 'closes';
		}

		const closes = last.shouldKeepAlive ? 'closes' : 'closes-already';
		last.shouldKeepAlive = false;
		if (!this.#closing.has(socket)) {
			this.#closing.add(socket);
			// The head of the last answer may have been written before and announce otherwise.
			whenResponseCloses(last, () => {
				last.req.socket.destroySoon();
			});
		}

		return closes;
	}

	#unfinishedOn(socket: Duplex): readonly ServerResponse[] {
		return (this.#bySocket.get(socket) ?? []).filter(({writableFinished, destroyed}) => !writableFinished && !destroyed);
	}
}
