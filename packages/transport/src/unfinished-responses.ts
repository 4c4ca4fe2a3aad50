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
	readonly #bySocket = new WeakMap<Duplex, ServerResponse>();

	/**
	Adds the response to a request that has arrived.

	@param response The response.
	*/
	add(response: ServerResponse): void {
		if (response.socket !== null) {
			this.#bySocket.set(response.socket, response);
		}
	}

	/**
	Returns the response that is in progress on a connection.

	@param socket The connection.
	@returns The response; undefined if there is none or it is complete.
	*/
	on(socket: Duplex): ServerResponse | undefined {
		const response = this.#bySocket.get(socket);
		return response?.writableFinished === false && !response.destroyed ? response : undefined;
	}
}
