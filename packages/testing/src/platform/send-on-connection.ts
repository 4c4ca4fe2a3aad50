import {type Agent, type IncomingMessage, request as openRequest} from 'node:http';

/** A request that is sent whole. */
export type KeptRequest = {
	/** The host and port, as `HOST:PORT`. */
	readonly address: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
};

/** What became of a request on a connection that may be kept. */
export type KeptAnswer = {
	/** Whether the connection had been opened for an earlier request. */
	readonly isReused: boolean;
	/** The status; 0 without a head. */
	readonly status: number;
	/** Whether the answer was received completely. */
	readonly isComplete: boolean;
	readonly headers: IncomingMessage['headers'];
};

/**
Sends a request on the connection of an agent, and reads the answer to its end.

@param agent An agent that keeps one connection.
@param options The request.
@returns What became of it.
@example
```ts
await sendOnConnection(new Agent({keepAlive: true, maxSockets: 1}), {address: '127.0.0.1:8227', method: 'POST', path: '/print/7', headers: {Host: 'desk.example'}, body: 'label'});
```
*/
export async function sendOnConnection(agent: Agent, {address, method, path, headers, body}: KeptRequest): Promise<KeptAnswer> {
	const [host, port] = address.split(':');
	const outgoing = openRequest({
		host, port, method, path, agent, headers: {'Content-Length': String(body.length), ...headers},
	});
	return new Promise(resolve => {
		outgoing.on('error', () => {
			resolve({
				isReused: outgoing.reusedSocket, status: 0, isComplete: false, headers: {},
			});
		});
		outgoing.on('response', message => {
			message.resume();
			message.on('error', () => {
				// The close event follows.
			});
			message.on('close', () => {
				resolve({
					isReused: outgoing.reusedSocket, status: message.statusCode ?? 0, isComplete: message.complete, headers: message.headers,
				});
			});
		});
		outgoing.end(body);
	});
}
