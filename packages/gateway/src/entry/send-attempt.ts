import {type ClientRequest, type IncomingMessage, request as openRequest} from 'node:http';
import {type Clock} from '@valehitch/core';
import {
	ArrivalWatch, cancelRequest, frameRequest, malformedHead, type ResponseEnd, responseFraming, type ResponseFraming, sendOnceOpen, type SendProgress, setTimeoutAfterPoll,
	watchHead, watchResponseEnd, type Relay, TunnelError,
} from '@valehitch/transport';
import {type ServerRecord} from '../servers/server-record.js';
import {type Header} from './gateway-request.js';
import {
	closeIdleConnections, closeStaleConnections, connectionPool, recordKeepAlive, recordReuse,
} from './connection-pool.js';

/** Options of {@linkcode sendAttempt}. */
export type SendAttemptOptions = {
	readonly server: ServerRecord;
	readonly method: string;
	readonly target: string;
	readonly headers: readonly Header[];
	readonly body: Uint8Array;
	/** Whether an idle connection may be reused; false if the request may not be repeated. */
	readonly mayReuseConnection: boolean;
	/** The instance through which the server is reached; undefined for this instance's own links. */
	readonly relay?: Relay | undefined;
	/** The timeout of a direct connection, in milliseconds. */
	readonly connectTimeout: number;
	/** The timeouts for the head of the answer; undefined for none. */
	readonly headTimeouts: HeadTimeouts | undefined;
	/** Checked right before the request is written, once its connection is open; by default it is sent. */
	readonly mayStillSend?: (() => boolean) | undefined;
	/** Called when a new connection to the server is opened. */
	readonly onConnect: () => void;
	/** Aborted when the server's process is known to have ended, after which no more data will arrive. */
	readonly processEnd: AbortSignal;
	/** Checks whether the server's process is still running, after it closed the connection of an answer that ends in this way. */
	readonly isServerRunning: (end: ResponseEnd) => Promise<boolean>;
	readonly clock: Clock;
};

/** The interval at which it is checked whether a request can go on without a send whose timeout has passed, in milliseconds; a small part of the time of most requests. */
const overdueMilliseconds = 100;

/** The timeouts for the head of an answer. */
export type HeadTimeouts = {
	/** The time after which the send is abandoned, in milliseconds, if the server sent no data on other connections either and accepts no new one. */
	readonly checkAfter: number;
	/** The time after which the send is abandoned in any case, in milliseconds. */
	readonly maximum: number;
	/** The same for a send on a reused connection. */
	readonly maximumOnReused: number;
	/** Whether the server sent data on any connection since the send. It is then running, and processes other requests first. */
	readonly hasSentData: () => boolean;
	/** Checks whether the server accepts a new connection. */
	readonly isReachable: () => Promise<boolean>;
	/** Whether the request can go on without this send; until it can, the send is not abandoned, since its server may still answer. By default it can. */
	readonly canGoOn?: () => boolean;
	/** Called if a timeout has passed and the request cannot go on without this send. */
	readonly onOverdue?: () => void;
};

/** The outcome of a send, up to the head of the answer. */
export type SendOutcome
	/** The connection was not established, or closed before the request was sent, so the request has not run. */
	= | {readonly type: 'unreachable'; readonly reason: string; readonly wasOpen: boolean}
	/** The request may no longer be sent, so it has not run, and nothing is known about the server. */
		| {readonly type: 'withheld'}
	/** The relay could not be used, so the request has not run, and nothing is known about the server. */
		| {readonly type: 'relay-unavailable'; readonly reason: string}
	/** The connection broke before an answer, and the request may have run; it is excessive if the server sent more than an answer may have. */
		| {readonly type: 'lost'; readonly reason: string; readonly isExcessive: boolean}
	/** The same on a reused connection, which the server may have closed before it received the request. */
		| {readonly type: 'kept-connection-lost'; readonly reason: string; readonly isExcessive: boolean}
		| {readonly type: 'silent'}
		| {readonly type: 'cancelled'}
		| {readonly type: 'head'; readonly message: IncomingMessage; readonly framing: ResponseFraming; readonly isComplete: () => Promise<boolean>; readonly excess?: string | undefined};

/** The head of an answer, a check of whether the body is complete, to be called when it ends, and what came behind a short answer. */
export type ReceivedHead = Omit<Extract<SendOutcome, {type: 'head'}>, 'type'>;

/** A send in progress. */
export type SentAttempt = {
	readonly outcome: Promise<SendOutcome>;
	/** Whether a part of the request may have been sent. */
	readonly isSent: () => boolean;
	/** Cancels the send by closing its connection, which also cancels it at the server. */
	readonly cancel: () => void;
};

/** A send, or a stream of an earlier one, that a request can end. */
export type CancellableSend = Pick<SentAttempt, 'isSent' | 'cancel'>;

/**
Sends a request to a backend server. The outcome states exactly whether the request can have run.

@param options The request and the server.
@returns The send in progress.
@example
```ts
const {outcome, cancel} = sendAttempt({server, method: 'GET', target: '/x/', headers: [], body, mayReuseConnection: true, connectTimeout: 400, headTimeouts: undefined, onConnect, processEnd, isServerRunning, clock});
```
*/
export function sendAttempt(options: SendAttemptOptions): SentAttempt {
	const {server, method, target, headers, body, mayReuseConnection, relay, mayStillSend, onConnect, processEnd} = options;
	const pool = relay?.pool ?? connectionPool;
	if (mayReuseConnection) {
		closeStaleConnections(server, pool);
	}

	const request = openRequest({
		host: server.host,
		port: server.port,
		method,
		path: target,
		agent: mayReuseConnection ? pool : relay?.singleUse ?? false,
		setHost: false,
		headers: frameRequest(headers, {method, body}).flat(),
		signal: processEnd,
	});
	// The size of the head is limited. A header that is dropped may be the one that frames the body.
	request.maxHeadersCount = 0;
	let isCancelled = false;
	let isOpen = false;
	let hasAnswer = false;
	request.once('response', () => {
		hasAnswer = true;
	});
	request.on('socket', socket => {
		isOpen = !socket.connecting;
		// A reused connection would keep the listener until it closes.
		if (socket.connecting) {
			socket.once('connect', () => {
				isOpen = true;
				onConnect();
			});
		} else {
			recordReuse(socket);
		}
	});
	const progress = sendOnceOpen(request, body, {mayStillSend});
	const outcome = awaitHead(request, options, {isCancelled: () => isCancelled, isOpen: () => isOpen, progress});
	return {
		outcome,
		isSent: () => progress.isSent,
		cancel() {
			isCancelled = true;
			cancelRequest(request, {hasAnswer});
		},
	};
}

type SendState = {
	readonly isCancelled: () => boolean;
	readonly isOpen: () => boolean;
	readonly progress: SendProgress;
};

async function awaitHead(request: ClientRequest, options: SendAttemptOptions, {isCancelled, isOpen, progress}: SendState): Promise<SendOutcome> {
	const {server, method, relay, connectTimeout, headTimeouts, isServerRunning, clock} = options;
	const arrivals = new ArrivalWatch(clock);
	let excess: string | undefined;
	const isHeadMalformed = watchHead(request, {
		onExcess(reason) {
			excess = reason;
		},
	});
	return new Promise(resolve => {
		let isSilent = false;
		let isSettled = false;
		const stopConnectTimeout = setTimeoutAfterPoll(connectTimeout, () => {
			// The opening of a tunnel has its own timeout, which tells whose fault it is.
			if (!isOpen() && relay === undefined) {
				request.destroy(new Error(`No connection within ${connectTimeout} ms`));
			}
		});
		const giveUp = (): void => {
			isSilent = true;
			cancelRequest(request);
			closeIdleConnections(server, relay?.pool);
		};

		const stopWatching = headTimeouts === undefined ? undefined : watchHeadTimeouts(headTimeouts, {isReused: () => request.reusedSocket, giveUp});
		const settle = (outcome: SendOutcome): void => {
			isSettled = true;
			stopConnectTimeout();
			stopWatching?.();
			resolve(outcome);
		};

		const fail = (error: Error): void => {
			// A request also closes after its answer, when its connection becomes idle.
			if (isSettled) {
				return;
			}

			const reason = excess ?? error.message;
			const isExcessive = excess !== undefined;
			if (isCancelled()) {
				settle({type: 'cancelled'});
			} else if (progress.isWithheld) {
				settle({type: 'withheld'});
			} else if (!progress.isSent) {
				settle(error instanceof TunnelError && error.type === 'peer-unavailable' ? {type: 'relay-unavailable', reason} : {type: 'unreachable', reason, wasOpen: isOpen()});
			} else if (isSilent) {
				settle({type: 'silent'});
			} else if (request.reusedSocket) {
				// A server that dropped one idle connection has probably dropped the others too.
				closeIdleConnections(server, relay?.pool);
				settle({type: 'kept-connection-lost', reason, isExcessive});
			} else {
				settle({type: 'lost', reason, isExcessive});
			}
		};

		request.on('response', message => {
			if (isHeadMalformed()) {
				fail(new Error(malformedHead));
				message.destroy();
				return;
			}

			recordKeepAlive(message);
			settle({
				type: 'head', message, excess, framing: responseFraming(message, method), isComplete: watchResponseEnd(message, {method, arrivals, isServerRunning}),
			});
		});
		request.on('error', error => {
			fail(error);
		});
		request.on('close', () => {
			fail(new Error('The connection was closed before an answer arrived'));
		});
	});
}

type HeadWatch = {
	/** Whether the request was sent on a reused connection. */
	readonly isReused: () => boolean;
	readonly giveUp: () => void;
};

/** Gives up the send after the first timeout if the server is unresponsive on other connections too, and otherwise after the maximum; later if the request cannot go on without it. */
function watchHeadTimeouts(timeouts: HeadTimeouts, {isReused, giveUp}: HeadWatch): () => void {
	const {checkAfter, maximum, maximumOnReused, hasSentData, isReachable, canGoOn = () => true, onOverdue} = timeouts;
	let isOver = false;
	let stopTimeout: (() => void) | undefined;
	const giveUpOncePossible = (): void => {
		if (canGoOn()) {
			giveUp();
		} else {
			stopTimeout = setTimeoutAfterPoll(overdueMilliseconds, giveUpOncePossible);
		}
	};

	const onTimeout = (): void => {
		if (!canGoOn()) {
			onOverdue?.();
		}

		giveUpOncePossible();
	};

	const checkServer = async (): Promise<void> => {
		const left = (isReused() ? maximumOnReused : maximum) - checkAfter;
		const isAlive = left > 0 && (hasSentData() || await isReachable());
		if (isOver) {
			return;
		}

		if (isAlive) {
			stopTimeout = setTimeoutAfterPoll(left, onTimeout);
		} else {
			onTimeout();
		}
	};

	stopTimeout = setTimeoutAfterPoll(checkAfter, () => {
		void checkServer();
	});
	return () => {
		isOver = true;
		stopTimeout?.();
	};
}
