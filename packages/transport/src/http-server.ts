import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {type Failure, failure} from '@valehitch/core';
import {answerProblem, toProblem} from './problem.js';

/** How to serve HTTP. */
export type HttpServerOptions = {
	readonly host: string;
	/** The port; 0 takes a free one. */
	readonly port: number;
	/** The most bytes that the headers of a request may have. */
	readonly headerBytes: number;
	/** Answers a request; a failure that it throws becomes `internal`. */
	readonly handler: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
	/** Told of each error that a handler threw. */
	readonly onError: (error: unknown) => void;
};

/** A running HTTP server. */
export type HttpServer = {
	readonly port: number;
	/** Stops listening and waits until the requests in progress are answered. */
	readonly close: () => Promise<void>;
	/** Stops listening and ends all connections at once. */
	readonly destroy: () => void;
};

/**
Starts an HTTP server that answers malformed requests from the error table.

@param options Where to listen and what to do.
@returns The server.
@throws If the port cannot be opened.
@example
```ts
const server = await startHttpServer({host: '127.0.0.1', port: 0, headerBytes: 16384, handler, onError});
```
*/
export async function startHttpServer(options: HttpServerOptions): Promise<HttpServer> {
	const server = createServer({maxHeaderSize: options.headerBytes}, (request, response) => {
		options.handler(request, response).catch((error: unknown) => {
			options.onError(error);
			answerProblem(response, failure('internal', 'The daemon failed while it handled the request'));
		});
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
		answerOnSocket(socket, error.code === 'HPE_HEADER_OVERFLOW'
			? failure('headers-too-large', `Got request headers of more than ${options.headerBytes} bytes`)
			: failure('malformed-request', 'Got bytes that are not an HTTP/1.1 request'));
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(options.port, options.host, resolve);
	});
	return {
		port: (server.address() as AddressInfo).port,
		async close() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeIdleConnections();
			});
		},
		destroy() {
			server.close();
			server.closeAllConnections();
		},
	};
}

function answerOnSocket(socket: Socket, failed: Failure): void {
	if (!socket.writable) {
		socket.destroy();
		return;
	}

	const problem = toProblem(failed);
	const body = JSON.stringify(problem);
	socket.end(`HTTP/1.1 ${problem.status} ${problem.title}\r\nContent-Type: application/problem+json\r\nContent-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`);
}
