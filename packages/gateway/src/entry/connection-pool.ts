import {Agent, type AgentOptions, type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {type ServerRecord} from '../servers/server-record.js';
import {keepAliveTime, maximumIdleMilliseconds} from './keep-alive-time.js';

/** The maximum number of idle connections per server. More concurrent requests to one server are rare. */
const maximumIdleConnections = 8;
/** The maximum number of idle connections to all servers together, also through other instances. An instance that sends 20 requests a second keeps some 30 within the maximum idle time. */
export const maximumIdleConnectionsInAll = 128;

const lastUsedAt = new WeakMap<Socket, number>();
/** How long each connection may be idle, in milliseconds. */
const idleTimes = new WeakMap<Socket, number>();
/** The idle connections of all pools, by when they became idle. */
const idle = new Set<Socket>();

/** The options of a pool of keep-alive connections to backend servers. */
export const poolOptions: AgentOptions = {
	keepAlive: true, maxFreeSockets: maximumIdleConnections, timeout: 0, scheduling: 'lifo',
};
/** The pool of this instance's own connections; used only for requests that may be repeated. */
export const connectionPool = trackIdleTimes(new Agent(poolOptions));

/**
Records since when the connections of a pool are idle, so that stale ones can be closed, and closes the one that has been idle for longest when there are too many.

@param pool The pool.
@returns The pool.
@example
```ts
const pool = trackIdleTimes(new Agent(poolOptions));
```
*/
export function trackIdleTimes<Pool extends Agent>(pool: Pool): Pool {
	pool.on('free', (socket: Socket) => {
		if (socket.destroyed) {
			return;
		}

		if (!lastUsedAt.has(socket)) {
			socket.once('close', () => {
				idle.delete(socket);
			});
		}

		lastUsedAt.set(socket, performance.now());
		idle.add(socket);
		const [oldest] = idle;
		if (oldest !== undefined && idle.size > maximumIdleConnectionsInAll) {
			idle.delete(oldest);
			oldest.destroy();
		}
	});
	return pool;
}

/**
Records that a kept connection is in use again.

@param socket The connection.
@example
```ts
request.on('socket', socket => recordReuse(socket));
```
*/
export function recordReuse(socket: Socket): void {
	idle.delete(socket);
}

/**
Records for how long the server of an answer keeps its connection open while it is idle.

@param message The answer.
@example
```ts
request.on('response', message => recordKeepAlive(message));
```
*/
export function recordKeepAlive({socket, headers}: IncomingMessage): void {
	const header = headers['keep-alive'];
	idleTimes.set(socket, keepAliveTime(typeof header === 'string' ? header : undefined));
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
		if (idleTime > (idleTimes.get(socket) ?? maximumIdleMilliseconds) || socket.readableLength > 0) {
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
