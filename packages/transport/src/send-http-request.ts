import {
	Agent, type IncomingHttpHeaders, type IncomingMessage, type OutgoingHttpHeaders, request as sendRequest,
} from 'node:http';
import {type Either, Left, Right} from 'purify-ts';
import {cancelRequest} from './cancel-request.js';
import {parseAddress} from './parse-address.js';
import {probeAddress} from './probe-address.js';
import {type Relay} from './relay.js';
import {sendOnceOpen} from './send-once-open.js';
import {setTimeoutAfterPoll} from './set-timeout-after-poll.js';
import {TunnelError} from './tunnel-agent.js';
import {watchHead} from './watch-head.js';
import {watchResponseEnd} from './watch-response-end.js';

/** An HTTP request to a backend server. */
export type HttpRequest = {
	/** The base URL, such as `http://127.0.0.1:9001`. */
	readonly address: string;
	readonly method: string;
	/** The path and query. */
	readonly path: string;
	readonly headers: OutgoingHttpHeaders;
	readonly body: Uint8Array;
	/** Aborts the request and closes its connection, with a reset if there is no answer yet. */
	readonly signal: AbortSignal;
	/** Whether to reuse an idle connection; false if the request must not be retried. */
	readonly reuseConnection: boolean;
	/** The instance through which the server is reached; by default this instance's own links are used. */
	readonly relay?: Relay | undefined;
	/** Checked right before the request is written, which may be long after the call; by default it is sent. */
	readonly mayStillSend?: (() => boolean) | undefined;
	/** Called when a new connection of this instance to the server is opened. */
	readonly onConnect?: (() => void) | undefined;
};

/** The failure of a request that received no response. */
export type HttpRequestFailure = {
	/** Whether it is certain that no byte of the request reached the server. */
	readonly neverSent: boolean;
	/** Whether the request used a kept-alive connection, which the server may legitimately close at any time. */
	readonly onKeptConnection: boolean;
	/** Whether the request was not sent because the last check did not allow it, so that nothing is known about the server. */
	readonly isWithheld: boolean;
	/** Whether the relay could not be used, so that nothing is known about the server. */
	readonly isRelayUnavailable: boolean;
	readonly message: string;
};

/** The status and headers of a response; the body is read from `message`. */
export type HttpResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly message: IncomingMessage;
	/** Reports whether the body is complete, to be called when it has ended. */
	readonly isComplete: () => Promise<boolean>;
};

const maximumIdleSocketsPerServer = 64;
const connectTimeoutMilliseconds = 1000;
/** The timeout of a check whether a server still accepts connections, in milliseconds. A running machine accepts or refuses one within one round trip. */
const probeTimeoutMilliseconds = 100;
const keepAliveAgent = new Agent({keepAlive: true, maxFreeSockets: maximumIdleSocketsPerServer});

/**
Sends an HTTP request and waits for the response headers.

@param call The request.
@returns The status and headers of the response, or a failure that tells whether the request may have reached the server.
@example
```ts
const response = await sendHttpRequest({address: 'http://127.0.0.1:9001', method: 'GET', path: '/', headers: {}, body, signal, reuseConnection: true});
```
*/
export async function sendHttpRequest(call: HttpRequest): Promise<Either<HttpRequestFailure, HttpResponse>> {
	return new Promise(resolve => {
		let connected = false;
		let hasAnswer = false;
		const clientRequest = sendRequest(new URL(call.path, call.address), {
			method: call.method,
			headers: {...call.headers, 'content-length': call.body.byteLength},
			agent: agentOf(call),
		});
		const cancel = (): void => {
			cancelRequest(clientRequest, {hasAnswer});
		};

		if (call.signal.aborted) {
			cancel();
		}

		call.signal.addEventListener('abort', cancel);
		clientRequest.on('close', () => {
			call.signal.removeEventListener('abort', cancel);
			// An answer that upgrades the connection closes it, without an error.
			fail('The connection was closed before an answer arrived');
		});
		// The size of the head is limited. A header that is dropped may be the one that frames the body.
		clientRequest.maxHeadersCount = 0;
		const headProblem = watchHead(clientRequest);
		const cancelConnectTimeout = setTimeoutAfterPoll(connectTimeoutMilliseconds, () => {
			// The opening of a tunnel has its own timeout, which tells whose fault it is.
			if (!connected && call.relay === undefined) {
				clientRequest.destroy(new Error(`Connecting timed out after ${connectTimeoutMilliseconds} ms`));
			}
		});
		clientRequest.on('socket', socket => {
			if (!socket.connecting) {
				connected = true;
				return;
			}

			socket.once('connect', () => {
				connected = true;
				call.onConnect?.();
			});
		});
		const progress = sendOnceOpen(clientRequest, call.body, {mayStillSend: call.mayStillSend});
		const fail = (message: string, type?: TunnelError['type']): void => {
			cancelConnectTimeout();
			resolve(Left({
				neverSent: !progress.isSent,
				onKeptConnection: clientRequest.reusedSocket,
				isRelayUnavailable: type === 'peer-unavailable',
				isWithheld: progress.isWithheld,
				message,
			}));
		};

		clientRequest.on('response', message => {
			hasAnswer = true;
			const problem = headProblem();
			if (problem !== undefined) {
				fail(problem);
				message.destroy();
				return;
			}

			cancelConnectTimeout();
			resolve(Right({
				status: message.statusCode ?? 0,
				headers: message.headers,
				message,
				isComplete: watchResponseEnd(message, {request: clientRequest, requestBytes: call.body.byteLength, isServerRunning: async () => isRunning(call)}),
			}));
		});
		clientRequest.on('error', error => {
			fail(error.message, error instanceof TunnelError ? error.type : undefined);
		});
	});
}

function agentOf({relay, reuseConnection}: HttpRequest): Agent | false {
	if (relay !== undefined) {
		return reuseConnection ? relay.pool : relay.singleUse;
	}

	return reuseConnection ? keepAliveAgent : false;
}

/** Whether the server's process is still running, and the relay through which it was reached. It is assumed to be if its machine neither accepts nor refuses a connection in time. */
async function isRunning({address, relay}: HttpRequest): Promise<boolean> {
	const target = parseAddress(address);
	const result = relay === undefined ? await probeAddress(target, probeTimeoutMilliseconds) : await relay.probe(target);
	return result === 'open' || result === 'unanswered';
}
