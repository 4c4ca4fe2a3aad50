import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type DecisionLog} from '../logs/decision-log.js';

/** What the callers' server needs. */
export type CallerServerOptions = {
	readonly log: DecisionLog;
	/** Handles a request; never throws. */
	readonly handle: (message: IncomingMessage, response: ServerResponse) => Promise<void>;
};

/** Headers of a request, in bytes; the configuration's limit is of this size and cannot be changed on a running server. */
const maximumHeaderBytes = 32_768;
/** The time that an idle connection is kept before any configuration says otherwise, in milliseconds. */
const defaultIdleMilliseconds = 30_000;

/**
Makes the server for callers; it does not listen yet.

@param options Who handles requests.
@returns The server.
@example
```ts
const server = createCallerServer({log, handle});
```
*/
export function createCallerServer({log, handle}: CallerServerOptions): Server {
	const server = createServer({
		maxHeaderSize: maximumHeaderBytes,
		keepAliveTimeout: defaultIdleMilliseconds,
		// The time of a request is bounded by its route, and its headers come from trusted callers behind the balancer.
		requestTimeout: 0,
		headersTimeout: 0,
		insecureHTTPParser: false,
	}, (message, response) => {
		void handle(message, response);
	});
	server.on('clientError', (error, socket) => {
		log('request-refused', {error: 'malformed-request', reason: error.message}, 'warn');
		if (socket.writable) {
			socket.end('HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n');
		} else {
			socket.destroy();
		}
	});
	return server;
}
