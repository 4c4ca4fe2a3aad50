import {Agent} from 'node:http';
import {type Socket} from 'node:net';
import {type ServerRecord} from '../servers/server-record.js';

/** The maximum number of idle connections per server. More concurrent requests to one server are rare. */
const maximumIdleConnections = 8;
/** The maximum idle time of a connection if the server specifies none, in milliseconds. It is shorter than the usual idle timeouts of servers, which are a few seconds. */
const idleMilliseconds = 1500;

/** The pool of keep-alive connections to backend servers; used only for requests that may be repeated. */
export const connectionPool = new Agent({
	keepAlive: true, maxFreeSockets: maximumIdleConnections, timeout: 0, scheduling: 'lifo',
});
const lastUsedAt = new WeakMap<Socket, number>();

connectionPool.on('free', (socket: Socket) => {
	lastUsedAt.set(socket, performance.now());
});

/**
Closes the idle connections to a server that must not be reused: the server may be about to close a connection that has been idle for long, and a connection with unread bytes holds an answer that belongs to no request.

@param server The server.
@example
```ts
closeStaleConnections(server);
```
*/
export function closeStaleConnections(server: ServerRecord): void {
	for (const socket of idleConnections(server)) {
		const idleTime = performance.now() - (lastUsedAt.get(socket) ?? 0);
		if (idleTime > idleMilliseconds || socket.readableLength > 0) {
			socket.destroy();
		}
	}
}

/**
Closes all idle connections to a server. If one connection stopped responding without a reset, the others may have too, while new connections work.

@param server The server.
@example
```ts
closeIdleConnections(server);
```
*/
export function closeIdleConnections(server: ServerRecord): void {
	for (const socket of idleConnections(server)) {
		socket.destroy();
	}
}

function idleConnections({host, port}: ServerRecord): readonly Socket[] {
	return [...connectionPool.freeSockets[connectionPool.getName({host, port})] ?? []];
}
