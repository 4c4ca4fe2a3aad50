import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, Server as NetServer, type Socket} from 'node:net';
import {type Failure, failure} from '@valehitch/core';
import {closeIdleAfterPoll} from './close-idle-after-poll.js';
import {ConnectionTurns} from './connection-turns.js';
import {ignoreUpgrades} from './ignore-upgrades.js';
import {limitUnreadBody} from './limit-unread-body.js';
import {sendProblem, toProblemDetails} from './problem-details.js';
import {readPendingInput} from './read-pending-input.js';
import {refuseTunnels} from './refuse-tunnels.js';
import {ResponsesInProgress} from './responses-in-progress.js';
import {setTimeoutAfterPoll} from './set-timeout-after-poll.js';
import {UnfinishedResponses} from './unfinished-responses.js';
import {whenResponseCloses} from './when-response-closes.js';

/** Options for `startHttpServer`. */
export type HttpServerOptions = {
	readonly host: string;
	/** The port; 0 selects a free one. */
	readonly port: number;
	/** The maximum size of a request's headers in bytes. */
	readonly headerBytes: number;
	/** Handles a request once those before it on its connection are answered; an exception is answered with an `internal` failure. */
	readonly handler: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
	/** Called with each error that a handler throws. */
	readonly onError: (error: unknown) => void;
};

/** Options for `close`. */
export type CloseOptions = {
	/** How long to wait before all connections are closed, in milliseconds; 24 days by default, the longest time of a timer. */
	readonly within?: number;
};

/** A running HTTP server. */
export type HttpServer = {
	readonly port: number;
	/** Stops accepting connections, and waits until the requests in progress and those that have arrived are answered and their callers have read the answers, or the time is over. */
	readonly close: (options?: CloseOptions) => Promise<void>;
	/** Stops accepting connections and closes all open ones immediately. */
	readonly destroy: () => void;
};

/**
Starts an HTTP server that answers malformed requests with problem details.

@param options The address, the header limit and the handlers.
@returns The running server.
@throws {Error} If the server cannot listen on the address.
@example
```ts
const server = await startHttpServer({host: '127.0.0.1', port: 0, headerBytes: 16384, handler, onError});
```
*/
export async function startHttpServer(options: HttpServerOptions): Promise<HttpServer> {
	const unfinished = new UnfinishedResponses();
	const turns = new ConnectionTurns();
	const responses = new ResponsesInProgress();
	let isClosing = false;
	const closeIdle = async (): Promise<void> => {
		await readPendingInput();
		// The server also takes a connection for idle whose answer is complete but not read yet.
		if (!responses.isCompleteOneUnread) {
			server.closeIdleConnections();
		}
	};

	const closeAll = (): void => {
		// The server does not know a connection any more on which a request for a tunnel or another protocol waits.
		responses.abort();
		server.closeAllConnections();
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		if (!await turns.next(response)) {
			return;
		}

		try {
			await options.handler(request, response);
		} catch (error) {
			options.onError(error);
			sendProblem(response, failure('internal', 'Unexpected error in the request handler'));
		}
	};

	const server = createServer({maxHeaderSize: options.headerBytes}, (request, response) => {
		limitUnreadBody(response);
		unfinished.add(response);
		responses.add(response);
		response.shouldKeepAlive &&= !isClosing;
		responses.endWithConnection(response);
		whenResponseCloses(response, () => {
			if (isClosing) {
				void closeIdle();
			}
		});
		void handle(request, response);
	});
	closeIdleAfterPoll(server);
	ignoreUpgrades(server, unfinished);
	refuseTunnels(server, {unfinished});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
		if (unfinished.closeBehindWhole(socket) !== 'open') {
			return;
		}

		sendProblemOnSocket(socket, error.code === 'HPE_HEADER_OVERFLOW'
			? failure('headers-too-large', `The request headers exceed ${options.headerBytes} bytes`)
			: failure('malformed-request', 'The request is not valid HTTP/1.1'));
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(options.port, options.host, resolve);
	});
	return {
		port: (server.address() as AddressInfo).port,
		async close({within = Number.POSITIVE_INFINITY} = {}) {
			isClosing = true;
			responses.closeConnections();
			const closed = new Promise<void>(resolve => {
				// The HTTP server's own method closes idle connections at once.
				NetServer.prototype.close.call(server, () => {
					resolve();
				});
			});
			const stopTimeout = setTimeoutAfterPoll(within, () => {
				closeAll();
			});
			await closeIdle();
			await closed;
			stopTimeout();
		},
		destroy() {
			server.close();
			closeAll();
		},
	};
}

function sendProblemOnSocket(socket: Socket, failed: Failure): void {
	if (!socket.writable) {
		socket.destroy();
		return;
	}

	const problem = toProblemDetails(failed);
	const body = JSON.stringify(problem);
	socket.end(`HTTP/1.1 ${problem.status} ${problem.title}\r\nContent-Type: application/problem+json\r\nContent-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`);
}
