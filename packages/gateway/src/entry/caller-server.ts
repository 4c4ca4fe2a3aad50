import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	closeIdleAfterPoll, ignoreUpgrades, limitUnreadBody, refuseTunnels, UnfinishedResponses,
} from '@valehitch/transport';
import {type DecisionLog} from '../logs/decision-log.js';

/** Options of {@linkcode createCallerServer}. */
export type CallerServerOptions = {
	readonly log: DecisionLog;
	/** Handles a request; never throws. */
	readonly handle: (message: IncomingMessage, response: ServerResponse) => Promise<void>;
	/** Called when a connection is closed, as it was idle or has bytes that are no request; by default, nothing is called. */
	readonly onClose?: (reason: 'idle' | 'malformed') => void;
};

/** The maximum size of a request's headers, in bytes. The server takes this limit only when it is created, so the limit in the configuration is not applied. */
const maximumHeaderBytes = 32_768;
/** How long an idle connection is kept open until the first configuration arrives, in milliseconds. */
const defaultIdleMilliseconds = 30_000;

/**
Creates the HTTP server for callers, without listening.

@param options The request handler and the log.
@returns The server.
@example
```ts
const server = createCallerServer({log, handle});
```
*/
export function createCallerServer({log, handle, onClose}: CallerServerOptions): Server {
	const unfinished = new UnfinishedResponses();
	const server = createServer({
		maxHeaderSize: maximumHeaderBytes,
		keepAliveTimeout: defaultIdleMilliseconds,
		// The route limits the duration of a request, and headers come from trusted callers behind the load balancer.
		requestTimeout: 0,
		headersTimeout: 0,
		insecureHTTPParser: false,
	}, (message, response) => {
		limitUnreadBody(response);
		unfinished.add(response);
		void handle(message, response);
	});
	closeIdleAfterPoll(server, {
		onClose() {
			onClose?.('idle');
		},
	});
	ignoreUpgrades(server, unfinished);
	refuseTunnels(server, {
		unfinished,
		onRefuse() {
			log('request-refused', {error: 'malformed-request', reason: 'The request is for a tunnel'}, 'warn');
		},
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		// The event also tells of connections that callers reset.
		if (error.code?.startsWith('HPE_') !== true) {
			socket.destroy();
			return;
		}

		// What came whole is answered; the connection is closed behind the last answer.
		const closing = unfinished.closeBehindWhole(socket);
		if (closing === 'closes-already') {
			return;
		}

		log('request-refused', {error: 'malformed-request', reason: error.message}, 'warn');
		onClose?.('malformed');
		if (closing === 'closes') {
			return;
		}

		if (socket.writable) {
			socket.end('HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n');
		} else {
			socket.destroy();
		}
	});
	return server;
}
