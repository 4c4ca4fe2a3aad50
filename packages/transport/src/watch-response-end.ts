import {type ClientRequest, type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {type ArrivalWatch} from './arrival-watch.js';
import {confirmClose} from './_confirm-close.js';
import {delayEnd} from './_delay-end.js';
import {isLongRequest, requestSettled} from './_request-settled.js';
import {responseFraming} from './response-framing.js';

/** Options of {@linkcode watchResponseEnd}. */
export type WatchResponseEndOptions = {
	readonly request: ClientRequest;
	/** The length of its body, in bytes. */
	readonly requestBytes: number;
	/** When data of the response arrived, from the request on; by default, every end counts as read at once. */
	readonly arrivals?: ArrivalWatch;
	/** Checks whether the process of the server is still running. */
	readonly isServerRunning: (end: ResponseEnd) => Promise<boolean>;
};

/** How a response ended whose end is the end of its connection. */
export type ResponseEnd = {
	/** Whether the server may have closed the connection long ago, so that another process may be running at its address by now. */
	readonly mayBeLate: boolean;
};

/**
Watches how a response ends, to tell a complete body from a truncated one. The absence of an error does not show that a body is complete.

A body without a length or chunks ends when its connection is closed (RFC 9112, section 6.3). A process that exits closes its connections in the same way, so that such a body is complete only if the server is still running afterwards. Nor is it complete if the connection is reset since the server has not read the request, also where it was closed before.

@param message The response, of which nothing has been read.
@param options The request and its server.
@returns A function that reports whether the body is complete, to be called when it has ended.
@example
```ts
const isComplete = watchResponseEnd(message, {request, requestBytes: 0, arrivals, isServerRunning: async () => true});
```
*/
export function watchResponseEnd(message: IncomingMessage, options: WatchResponseEndOptions): () => Promise<boolean> {
	const {request, arrivals, isServerRunning} = options;
	if (responseFraming(message, request.method) !== 'close') {
		return async () => message.complete;
	}

	const wasClosed = watchClose(message, options);
	return async () => {
		if (!message.complete || !await wasClosed) {
			return false;
		}

		const mayBeLate = arrivals?.mayBeLate() === true;
		if (!await isServerRunning({mayBeLate})) {
			return false;
		}

		// This process may also have been suspended before it asked.
		return mayBeLate || arrivals?.mayBeLate() !== true || isServerRunning({mayBeLate: true});
	};
}

/** Waits until a connection has ended, and tells whether it was closed rather than reset. */
async function watchClose({socket}: IncomingMessage, {request, requestBytes, arrivals}: WatchResponseEndOptions): Promise<boolean> {
	if (isLongRequest(requestBytes)) {
		delayEnd(socket, requestSettled(request));
	}

	const stopRecording = recordArrivals(socket, arrivals);
	return new Promise<boolean>(resolve => {
		socket.once('error', () => {
			resolve(false);
		});
		socket.once('close', () => {
			resolve(false);
		});
		// Runs before the listener of the HTTP client, which ends the writable side.
		socket.prependOnceListener('end', () => {
			stopRecording();
			confirmClose(socket, resolve);
		});
	});
}

/** Records when data arrives on a connection, until the returned function is called at its end. */
function recordArrivals(socket: Socket, arrivals: ArrivalWatch | undefined): () => void {
	if (arrivals === undefined) {
		return () => undefined;
	}

	const record = (): void => {
		arrivals.record();
	};

	record();
	socket.on('data', record);
	return () => {
		record();
		socket.off('data', record);
	};
}
