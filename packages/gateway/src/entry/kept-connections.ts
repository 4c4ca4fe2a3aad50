import {Agent} from 'node:http';
import {type Socket} from 'node:net';
import {type ServerRecord} from '../servers/server-record.js';

/** Idle connections to one server; more than that many requests at once to one server are rare. */
const maximumIdleConnections = 8;
/** The time that an idle connection is kept where the server names none, in milliseconds: below the usual idle timeouts of a few seconds. */
const idleMilliseconds = 1500;

/** The connections to backend servers that are kept for requests that may be repeated. */
export const keptConnections = new Agent({
	keepAlive: true, maxFreeSockets: maximumIdleConnections, timeout: 0, scheduling: 'lifo',
});
const usedAt = new WeakMap<Socket, number>();

keptConnections.on('free', (socket: Socket) => {
	usedAt.set(socket, performance.now());
});

/**
Closes the idle connections to a server that must not be used: one that idled for long may be closed by the server at this moment, and one with bytes waiting holds an answer that belongs to no request.

@param server The server.
@example
```ts
dropStaleConnections(server);
```
*/
export function dropStaleConnections(server: ServerRecord): void {
	for (const socket of idleConnections(server)) {
		const idle = performance.now() - (usedAt.get(socket) ?? 0);
		if (idle > idleMilliseconds || socket.readableLength > 0) {
			socket.destroy();
		}
	}
}

/**
Closes all idle connections to a server: where one connection has gone silent without a reset, those beside it may have too, while new ones work.

@param server The server.
@example
```ts
dropIdleConnections(server);
```
*/
export function dropIdleConnections(server: ServerRecord): void {
	for (const socket of idleConnections(server)) {
		socket.destroy();
	}
}

function idleConnections({host, port}: ServerRecord): readonly Socket[] {
	return [...keptConnections.freeSockets[keptConnections.getName({host, port})] ?? []];
}
