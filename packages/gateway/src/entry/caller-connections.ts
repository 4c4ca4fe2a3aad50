import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type Clock} from '@valehitch/core';
import {whenResponseCloses} from '@valehitch/transport';

/** Options of {@linkcode CallerConnections.recordRequest}. */
export type RecordRequestOptions = {
	/** For how long its caller may keep the connection idle after the response, in milliseconds; 0 by default. */
	readonly idleTime?: number | undefined;
};

type ConnectionUse = {
	requests: number;
	/** When the connection was opened or its last request ended, in milliseconds on the monotonic clock. */
	usedAt: number;
	/** The longest idle time that was announced on it, in milliseconds; 0 if none was. */
	idleTime: number;
};

/**
The open connections of callers, and when each of them was last in use.

@example
```ts
const connections = new CallerConnections(clock);
server.on('connection', socket => connections.add(socket));
connections.recordRequest(response, {idleTime: 15_000});
connections.isAnyUsedWithin(15_000);
```
*/
export class CallerConnections {
	readonly #clock: Pick<Clock, 'monotonic'>;
	readonly #uses = new Map<Socket, ConnectionUse>();

	/**
	@param clock The clock.
	*/
	constructor(clock: Pick<Clock, 'monotonic'>) {
		this.#clock = clock;
	}

	/**
	Adds a connection until it closes.

	@param socket The connection; one that was added before is left as it is.
	*/
	add(socket: Socket): void {
		if (this.#uses.has(socket)) {
			return;
		}

		this.#uses.set(socket, {requests: 0, usedAt: this.#clock.monotonic(), idleTime: 0});
		socket.once('close', () => {
			this.#uses.delete(socket);
		});
	}

	/**
	Records that a request has arrived, and that it has ended once its response closes.

	@param response The response to the request.
	@param options What the response announces.
	*/
	recordRequest(response: ServerResponse, {idleTime = 0}: RecordRequestOptions = {}): void {
		const use = this.#uses.get(response.req.socket);
		if (use === undefined) {
			return;
		}

		use.requests++;
		use.idleTime = Math.max(use.idleTime, idleTime);
		whenResponseCloses(response, () => {
			use.requests--;
			use.usedAt = this.#clock.monotonic();
		});
	}

	/**
	Tells whether a connection has a request in progress or was in use a short time ago, so that its caller may send another request on it.

	@param milliseconds For how long callers keep an idle connection; longer where a longer time was announced.
	@returns Whether there is such a connection.
	*/
	isAnyUsedWithin(milliseconds: number): boolean {
		const now = this.#clock.monotonic();
		for (const {requests, usedAt, idleTime} of this.#uses.values()) {
			if (requests > 0 || now - usedAt < Math.max(milliseconds, idleTime)) {
				return true;
			}
		}

		return false;
	}

	/**
	Ends all connections without a request. They are read on, so that a request that crosses the close does not reset its connection.

	@returns Whether there was such a connection.
	*/
	endIdle(): boolean {
		let isAnyIdle = false;
		for (const [socket, {requests}] of this.#uses) {
			if (requests === 0) {
				isAnyIdle = true;
				socket.end();
			}
		}

		return isAnyIdle;
	}
}
