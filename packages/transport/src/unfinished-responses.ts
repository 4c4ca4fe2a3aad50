import {type ServerResponse} from 'node:http';
import {type Duplex} from 'node:stream';

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
	Returns the response to the latest request of a connection that has arrived whole.

	@param socket The connection.
	@returns The response; undefined if none is in progress.
	*/
	lastWholeOn(socket: Duplex): ServerResponse | undefined {
		return this.#unfinishedOn(socket).findLast(({req}) => req.complete);
	}

	#unfinishedOn(socket: Duplex): readonly ServerResponse[] {
		return (this.#bySocket.get(socket) ?? []).filter(({writableFinished, destroyed}) => !writableFinished && !destroyed);
	}
}
