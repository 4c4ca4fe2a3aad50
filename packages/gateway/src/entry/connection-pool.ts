import {Agent, type AgentOptions} from 'node:http';
import {type Socket} from 'node:net';
import {type ServerRecord} from '../servers/server-record.js';

/** The maximum number of idle connections per server. More concurrent requests to one server are rare. */
const maximumIdleConnections = 8;
/** The maximum idle time of a connection if the server specifies none, in milliseconds. It is shorter than the usual idle timeouts of servers, which are a few seconds. */
const idleMilliseconds = 1500;

const lastUsedAt = new WeakMap<Socket, number>();

/** The options of a pool of keep-alive connections to backend servers. */
export const poolOptions: AgentOptions = {
	keepAlive: true, maxFreeSockets: maximumIdleConnections, timeout: 0, scheduling: 'lifo',
};
/** The pool of this instance's own connections; used only for requests that may be repeated. */
export const connectionPool = trackIdleTimes(new Agent(poolOptions));

/**
Records since when the connections of a pool are idle, so that stale ones can be closed.

@param pool The pool.
@returns The pool.
@example
```ts
const pool = trackIdleTimes(new Agent(poolOptions));
```
*/
export function trackIdleTimes<Pool extends Agent>(pool: Pool): Pool {
	pool.on('free', (socket: Socket) => {
		lastUsedAt.set(socket, performance.now());
	});
	return pool;
}

/**
Closes the idle connections to a server that must not be reused: the server may be about to close a connection that has been idle for long, and a connection with unread bytes holds an answer that belongs to no request.

@param server The server.
@param pool The pool of the connections; that of direct ones by default.
@example
```ts
closeStaleConnections(server);
```
*/
export function closeStaleConnections(server: ServerRecord, pool: Agent = connectionPool): void {
	for (const socket of idleConnections(server, pool)) {
		const idleTime = performance.now() - (lastUsedAt.get(socket) ?? 0);
		if (idleTime > idleMilliseconds || socket.readableLength > 0) {
			socket.destroy();
		}
	}
}

/**
Closes all idle connections to a server. If one connection stopped responding without a reset, the others may have too, while new connections work.

@param server The server.
@param pool The pool of the connections; that of direct ones by default.
@example
```ts
closeIdleConnections(server);
```
*/
export function closeIdleConnections(server: ServerRecord, pool: Agent = connectionPool): void {
	for (const socket of idleConnections(server, pool)) {
		socket.destroy();
	}
}

function idleConnections({host, port}: ServerRecord, pool: Agent): readonly Socket[] {
	return [...pool.freeSockets[pool.getName({host, port})] ?? []];
}
