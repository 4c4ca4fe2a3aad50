import {
	Agent, type IncomingHttpHeaders, type IncomingMessage, type OutgoingHttpHeaders, request as sendRequest,
} from 'node:http';
import {type Either, Left, Right} from 'purify-ts';
import {timeoutAfterInput} from './timeout-after-input.js';

/** A call to a backend server. */
export type HttpCall = {
	/** The base address, such as `http://127.0.0.1:9001`. */
	readonly address: string;
	readonly method: string;
	/** The path with its query. */
	readonly path: string;
	readonly headers: OutgoingHttpHeaders;
	readonly body: Uint8Array;
	/** Ends the call; its socket is destroyed. */
	readonly signal: AbortSignal;
	/** Whether an idle connection may be used again; false where the call may not be repeated. */
	readonly reuseConnection: boolean;
};

/** A call that got no answer. */
export type HttpCallFailure = {
	/** Whether no byte of the request can have reached the server. */
	readonly neverSent: boolean;
	/** Whether it went out on a kept connection, which the server may have closed at that moment without a fault. */
	readonly onKeptConnection: boolean;
	readonly message: string;
};

/** The head of an answer; the body is read from `message`. */
export type HttpAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly message: IncomingMessage;
};

const idleSocketsPerServer = 64;
const connectTimeoutMilliseconds = 1000;
const keptAlive = new Agent({keepAlive: true, maxFreeSockets: idleSocketsPerServer});

/**
Sends a call and waits for the head of the answer.

@param call The call.
@returns The answer's head, or a failure that tells whether the request can have reached the server.
@example
```ts
const answer = await sendHttp({address: 'http://127.0.0.1:9001', method: 'GET', path: '/', headers: {}, body, signal, reuseConnection: true});
```
*/
export async function sendHttp(call: HttpCall): Promise<Either<HttpCallFailure, HttpAnswer>> {
	return new Promise(resolve => {
		let connected = false;
		const outgoing = sendRequest(new URL(call.path, call.address), {
			method: call.method,
			headers: {...call.headers, 'content-length': call.body.byteLength},
			agent: call.reuseConnection ? keptAlive : false,
			signal: call.signal,
		});
		const stopConnectTimeout = timeoutAfterInput(connectTimeoutMilliseconds, () => {
			if (!connected) {
				outgoing.destroy(new Error(`Got no connection in ${connectTimeoutMilliseconds} ms`));
			}
		});
		outgoing.on('socket', socket => {
			if (!socket.connecting) {
				connected = true;
				return;
			}

			socket.once('connect', () => {
				connected = true;
			});
		});
		outgoing.on('response', message => {
			stopConnectTimeout();
			resolve(Right({status: message.statusCode ?? 0, headers: message.headers, message}));
		});
		outgoing.on('error', error => {
			stopConnectTimeout();
			resolve(Left({neverSent: !connected, onKeptConnection: outgoing.reusedSocket, message: error.message}));
		});
		outgoing.end(call.body);
	});
}
