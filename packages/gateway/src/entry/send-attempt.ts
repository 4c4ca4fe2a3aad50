import {type ClientRequest, type IncomingMessage, request as openRequest} from 'node:http';
import {type Clock} from '@valehitch/core';
import {type SecondSendReason} from '@valehitch/routing';
import {
	ArrivalWatch, cancelRequest, frameRequest, type ResponseEnd, responseFraming, type ResponseFraming, sendOnceOpen, type SendProgress, setTimeoutAfterPoll,
	watchHead, watchResponseEnd, type Relay, TunnelError,
} from '@valehitch/transport';
import {type ServerRecord} from '../servers/server-record.js';
import {type Header} from './gateway-request.js';
import {type OverdueWatchOptions, watchOverdue} from './overdue-watch.js';
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
	/** How the send is watched until its answer begins; undefined if no other server may be asked. */
	readonly watch: OverdueWatchOptions | undefined;
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
	/** Resolves when a second server is to be asked; never once there is an outcome. */
	readonly overdue: Promise<OverdueSendFinding>;
	/** Watches the send once more after it was overdue, as if it were sent now; resolves when another server is to be asked. */
	readonly watchAgain: () => Promise<OverdueSendFinding>;
	/** Whether a part of the request may have been sent. */
	readonly isSent: () => boolean;
	/** Cancels the send by closing its connection, which also cancels it at the server. */
	readonly cancel: () => void;
	/** Cancels the send because its server sends and accepts nothing, or another answer is forwarded in its place. */
	readonly giveUp: () => void;
};

/** That a second server is to be asked, and why. */
export type OverdueSendFinding = {
	readonly type: 'overdue';
	readonly reason: SecondSendReason;
};

/** A send, or a stream of an earlier one, that a request can end. */
export type CancellableSend = Pick<SentAttempt, 'isSent' | 'cancel'>;

/**
Sends a request to a backend server. The outcome states exactly whether the request can have run.

@param options The request and the server.
@returns The send in progress.
@example
```ts
const {outcome, cancel} = sendAttempt({server, method: 'GET', target: '/x/', headers: [], body, mayReuseConnection: true, connectTimeout: 400, watch: undefined, onConnect, processEnd, isServerRunning, clock});
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
	let isSilent = false;
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
	const outcome = awaitHead(request, options, {
		isCancelled: () => isCancelled, isSilent: () => isSilent, isOpen: () => isOpen, progress,
	});
	return {
		outcome,
		overdue: awaitOverdue(request, options, {outcome, isSent: () => progress.isSent}),
		watchAgain: async () => awaitOverdue(request, options, {outcome, isSent: () => progress.isSent}),
		isSent: () => progress.isSent,
		cancel() {
			isCancelled = true;
			cancelRequest(request, {hasAnswer});
		},
		giveUp() {
			isSilent = true;
			cancelRequest(request);
		},
	};
}

type SendInProgress = Pick<SentAttempt, 'outcome' | 'isSent'>;

/** Waits until a second server is to be asked; forever if the answer begins before that. */
async function awaitOverdue(request: ClientRequest, {server, relay, watch, clock}: SendAttemptOptions, {outcome, isSent}: SendInProgress): Promise<OverdueSendFinding> {
	return new Promise(resolve => {
		if (watch === undefined) {
			return;
		}

		const stopWatching = watchOverdue(watch, {
			clock,
			isReused: () => request.reusedSocket,
			isSent,
			onOverdue(reason) {
				if (request.reusedSocket) {
					// If one kept connection is silent, the others to its server may be too.
					closeIdleConnections(server, relay?.pool);
				}

				resolve({type: 'overdue', reason});
			},
		});
		void outcome.finally(stopWatching);
	});
}

type SendState = {
	readonly isCancelled: () => boolean;
	/** Whether the send was given up because its server does not answer. */
	readonly isSilent: () => boolean;
	readonly isOpen: () => boolean;
	readonly progress: SendProgress;
};

async function awaitHead(request: ClientRequest, options: SendAttemptOptions, {isCancelled, isSilent, isOpen, progress}: SendState): Promise<SendOutcome> {
	const {server, method, body, relay, connectTimeout, isServerRunning, clock} = options;
	const arrivals = new ArrivalWatch(clock);
	let excess: string | undefined;
	const headProblem = watchHead(request, {
		onExcess(reason) {
			excess = reason;
		},
	});
	return new Promise(resolve => {
		let isSettled = false;
		const stopConnectTimeout = setTimeoutAfterPoll(connectTimeout, () => {
			// The opening of a tunnel has its own timeout, which tells whose fault it is.
			if (!isOpen() && relay === undefined) {
				request.destroy(new Error(`No connection within ${connectTimeout} ms`));
			}
		});
		const settle = (outcome: SendOutcome): void => {
			isSettled = true;
			stopConnectTimeout();
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
			} else if (isSilent()) {
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
			const problem = headProblem();
			if (problem !== undefined) {
				fail(new Error(problem));
				message.destroy();
				return;
			}

			recordKeepAlive(message);
			settle({
				type: 'head',
				message,
				excess,
				framing: responseFraming(message, method),
				isComplete: watchResponseEnd(message, {
					request, requestBytes: body.byteLength, arrivals, isServerRunning,
				}),
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
