import {type ClientRequest, type IncomingMessage, request as openRequest} from 'node:http';
import {timeoutAfterInput} from '@valehitch/transport';
import {type ServerRecord} from '../servers/server-record.js';
import {type Header} from './gateway-request.js';
import {dropIdleConnections, dropStaleConnections, keptConnections} from './kept-connections.js';

/** One send to a backend server. */
export type SendAttemptOptions = {
	readonly server: ServerRecord;
	readonly method: string;
	readonly target: string;
	readonly headers: readonly Header[];
	readonly body: Uint8Array;
	/** Whether an idle connection may carry it; false where the request may not be repeated. */
	readonly mayReuse: boolean;
	/** Milliseconds within which the connection must open. */
	readonly connectTimeout: number;
	/** When a server that sends no head is given up; undefined for never. */
	readonly silence: SilenceBounds | undefined;
	/** Aborted once the server's process is known to have ended: nothing more comes on this connection. */
	readonly processEnd: AbortSignal;
};

/** How long a server may take to the head of its answer. */
export type SilenceBounds = {
	/** Milliseconds after which a server is given up that said nothing on any other connection either and takes no new one. */
	readonly quiet: number;
	/** Milliseconds after which it is given up in any case. */
	readonly longest: number;
	/** The same where the request went out on a connection that was kept. */
	readonly longestKept: number;
	/** Whether the server was heard on any connection since the send: then it runs, and others are before this request. */
	readonly isHeard: () => boolean;
	/** Whether the server takes a new connection. */
	readonly isReached: () => Promise<boolean>;
};

/** What a send came to, up to the head of the answer. */
export type SendOutcome
	/** The connection never opened, so the request did not run. */
	= | {readonly type: 'unreachable'; readonly reason: string}
	/** The request may have run, and there is no answer. */
		| {readonly type: 'lost'; readonly reason: string}
	/** The same on a connection that was kept from an earlier request: the server may have dropped it before it got anything. */
		| {readonly type: 'kept-connection-lost'; readonly reason: string}
		| {readonly type: 'silent'}
		| {readonly type: 'cancelled'}
		| {readonly type: 'head'; readonly message: IncomingMessage; readonly isWhole: () => Promise<boolean>};

/** The head of an answer, and whether its body is complete once it ended. */
export type ReceivedHead = Omit<Extract<SendOutcome, {type: 'head'}>, 'type'>;

/** A send in progress. */
export type SentAttempt = {
	readonly outcome: Promise<SendOutcome>;
	/** Whether its connection has opened; until then nothing of the request has left. */
	readonly hasOpened: () => boolean;
	/** Ends the send and destroys its connection; the server notices that. */
	readonly cancel: () => void;
};

/**
Sends a request to a backend server, and tells exactly whether it can have run.

@param options The request and the server.
@returns The send in progress.
@example
```ts
const {outcome, cancel} = sendAttempt({server, method: 'GET', target: '/x/', headers: [], body, mayReuse: true, connectTimeout: 400, silence: undefined, processEnd});
```
*/
export function sendAttempt(options: SendAttemptOptions): SentAttempt {
	const {server, method, target, headers, body, mayReuse, processEnd} = options;
	if (mayReuse) {
		dropStaleConnections(server);
	}

	const request = openRequest({
		host: server.host, port: server.port, method, path: target, agent: mayReuse ? keptConnections : false, setHost: false, headers: headers.flat(), signal: processEnd,
	});
	let isCancelled = false;
	let isOpen = false;
	request.on('socket', socket => {
		isOpen = !socket.connecting;
		socket.once('connect', () => {
			isOpen = true;
		});
	});
	const outcome = awaitHead(request, options, {isCancelled: () => isCancelled, isOpen: () => isOpen});
	request.end(body);
	return {
		outcome,
		hasOpened: () => isOpen,
		cancel() {
			isCancelled = true;
			request.destroy();
		},
	};
}

type SendProgress = {
	readonly isCancelled: () => boolean;
	readonly isOpen: () => boolean;
};

async function awaitHead(request: ClientRequest, {server, connectTimeout, silence}: SendAttemptOptions, {isCancelled, isOpen}: SendProgress): Promise<SendOutcome> {
	return new Promise(resolve => {
		let isSilent = false;
		const stopConnectTimeout = timeoutAfterInput(connectTimeout, () => {
			if (!isOpen()) {
				request.destroy(new Error(`Got no connection in ${connectTimeout} ms`));
			}
		});
		const giveUp = (): void => {
			isSilent = true;
			request.destroy();
			dropIdleConnections(server);
		};

		const stopWatching = silence === undefined ? undefined : watchSilence(silence, {isKept: () => request.reusedSocket, giveUp});
		const settle = (outcome: SendOutcome): void => {
			stopConnectTimeout();
			stopWatching?.();
			resolve(outcome);
		};

		const fail = (reason: string): void => {
			if (isCancelled()) {
				settle({type: 'cancelled'});
			} else if (!isOpen()) {
				settle({type: 'unreachable', reason});
			} else if (isSilent) {
				settle({type: 'silent'});
			} else {
				settle({type: request.reusedSocket ? 'kept-connection-lost' : 'lost', reason});
			}
		};

		request.on('response', message => {
			settle({type: 'head', message, isWhole: isFramed(message) ? async () => message.complete : untilClosed(message)});
		});
		request.on('error', error => {
			fail(error.message);
		});
		request.on('close', () => {
			fail('The connection closed before an answer');
		});
	});
}

type SilenceWatch = {
	/** Whether the request went out on a connection that was kept. */
	readonly isKept: () => boolean;
	readonly giveUp: () => void;
};

/** Gives a server up after the quiet time, or after the longest where it was heard of or reached meanwhile. */
function watchSilence({quiet, longest, longestKept, isHeard, isReached}: SilenceBounds, {isKept, giveUp}: SilenceWatch): () => void {
	let isOver = false;
	let stopTimeout: (() => void) | undefined;
	const look = async (): Promise<void> => {
		const left = (isKept() ? longestKept : longest) - quiet;
		const isAlive = left > 0 && (isHeard() || await isReached());
		if (isOver) {
			return;
		}

		if (isAlive) {
			stopTimeout = timeoutAfterInput(left, giveUp);
		} else {
			giveUp();
		}
	};

	stopTimeout = timeoutAfterInput(quiet, () => {
		void look();
	});
	return () => {
		isOver = true;
		stopTimeout?.();
	};
}

/** Whether the answer says where it ends; any other ends with its connection. */
function isFramed({headers}: IncomingMessage): boolean {
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/**
Tells a connection that was closed from one that was reset, which the event loop reports as closed where the reset follows closely on data.

An empty line is written after the end: the kernel refuses it on a connection that was reset, and a server that closed ignores it (RFC 9112, section 2.2).
*/
function untilClosed(message: IncomingMessage): () => Promise<boolean> {
	const {socket} = message;
	const wasClosed = new Promise<boolean>(resolve => {
		socket.once('error', () => {
			resolve(false);
		});
		socket.once('close', () => {
			resolve(false);
		});
		// Before the HTTP client's own listener, which ends the writable side.
		socket.prependOnceListener('end', () => {
			socket.write('\r\n', error => {
				resolve(error === undefined || error === null);
			});
		});
	});
	return async () => message.complete && wasClosed;
}
