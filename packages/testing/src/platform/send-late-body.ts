import {Buffer} from 'node:buffer';
import {type IncomingMessage, request as openRequest} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

/** A request whose body is complete some time after its head. */
export type LateBodyRequest = {
	/** The host and port, as `HOST:PORT`. */
	readonly address: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
	/** The time between the halves of the body, in milliseconds. */
	readonly bodyDelay: number;
};

/** What became of a request, as its caller sees it. */
export type LateBodyAnswer = {
	/** Whether a connection was opened. */
	readonly isConnected: boolean;
	/** When the last byte was handed to the connection, in milliseconds on the monotonic clock; undefined if it was not. */
	readonly wholeAt: number | undefined;
	/** The status; 0 without a head. */
	readonly status: number;
	readonly text: string;
	/** Whether the answer was received completely. */
	readonly isComplete: boolean;
	readonly headers: IncomingMessage['headers'];
};

/**
Sends a request on a connection of its own, the second half of its body after a delay, and reads the answer to its end.

@param options The request.
@returns What became of it.
@example
```ts
await sendLateBody({address: '127.0.0.1:8227', method: 'POST', path: '/print/7', headers: {Host: 'desk.example'}, body: 'label', bodyDelay: 700});
```
*/
export async function sendLateBody({address, method, path, headers, body, bodyDelay}: LateBodyRequest): Promise<LateBodyAnswer> {
	const [host, port] = address.split(':');
	const bytes = Buffer.from(body);
	const half = Math.floor(bytes.byteLength / 2);
	const outgoing = openRequest({
		host, port, method, path, agent: false, headers: {'Content-Length': String(bytes.byteLength), ...headers},
	});
	let isConnected = false;
	let wholeAt: number | undefined;
	outgoing.on('socket', socket => {
		socket.once('connect', () => {
			isConnected = true;
		});
	});
	const answer = new Promise<LateBodyAnswer>(resolve => {
		outgoing.on('error', () => {
			resolve({
				isConnected, wholeAt, status: 0, text: '', isComplete: false, headers: {},
			});
		});
		outgoing.on('response', message => {
			let text = '';
			message.setEncoding('utf8');
			message.on('data', (chunk: string) => {
				text += chunk;
			});
			message.on('error', () => {
				// The close event follows.
			});
			message.on('close', () => {
				resolve({
					isConnected, wholeAt, status: message.statusCode ?? 0, text, isComplete: message.complete, headers: message.headers,
				});
			});
		});
	});
	outgoing.write(bytes.subarray(0, half));
	await delay(bodyDelay);
	if (!outgoing.destroyed) {
		outgoing.end(bytes.subarray(half), () => {
			wholeAt = performance.now();
		});
	}

	return answer;
}
