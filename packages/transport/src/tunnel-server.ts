import {type IncomingMessage, STATUS_CODES} from 'node:http';
import {connect, type Socket} from 'node:net';
import {type InstanceId, toId} from '@valehitch/core';
import {joinSockets} from './_join-sockets.js';
import {ReadAhead} from './_read-ahead.js';
import {setTimeoutAfterPoll} from './set-timeout-after-poll.js';
import {
	parseTunnelTarget, tunnelHeader, tunnelStatus, type TunnelTarget,
} from './tunnel-target.js';

/** Options of {@linkcode TunnelServer}. */
export type TunnelServerOptions = {
	/** The secret that all daemons share. */
	readonly key: string;
	/** Decides whether a peer may open a tunnel to a target; a tunnel that is not allowed is refused as unavailable. */
	readonly isAllowed: (from: InstanceId, target: TunnelTarget) => boolean;
	/** Called when the connection to a target opens or fails. Returns whether the target is to blame for a failure; otherwise the peer is told that this instance is unavailable. */
	readonly recordTarget: (target: TunnelTarget, isOpen: boolean) => boolean;
};

/** The connection timeout if the request names none, and the longest one, in milliseconds. */
const maximumConnectMilliseconds = 1000;
/** The time that a peer has to read why it was refused, in milliseconds. */
const lingerMilliseconds = 1000;
const unauthorizedStatus = 401;
const malformedStatus = 400;
const unavailableStatus = 503;

/**
Opens connections on behalf of peers and passes their bytes on, for peers whose own links to the target fail.

@example
```ts
const tunnels = new TunnelServer({key, isAllowed, recordTarget});
httpServer.on('connect', (request, socket) => {
	tunnels.handle(request, socket);
});
```
*/
export class TunnelServer {
	readonly #options: TunnelServerOptions;
	readonly #callers = new Map<Socket, InstanceId>();
	readonly #readAhead = new ReadAhead();

	constructor(options: TunnelServerOptions) {
		this.#options = options;
	}

	/** The number of tunnels that are open or being opened. */
	get count(): number {
		return this.#callers.size;
	}

	/** The peers that have opened these tunnels. */
	get peers(): ReadonlySet<InstanceId> {
		return new Set(this.#callers.values());
	}

	/**
	Handles a CONNECT request.

	@param request The request.
	@param caller Its connection.
	*/
	handle(request: IncomingMessage, caller: Socket): void {
		const refuse = (status: number): void => {
			caller.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
			// Nothing that the peer sends is read, so that its end would not be noticed.
			const stopTimeout = setTimeoutAfterPoll(lingerMilliseconds, () => {
				caller.destroy();
			});
			caller.once('close', stopTimeout);
		};

		caller.on('error', () => {
			caller.destroy();
		});
		const {headers, url = ''} = request;
		if (headers.authorization !== `Bearer ${this.#options.key}`) {
			refuse(unauthorizedStatus);
			return;
		}

		const target = parseTunnelTarget(url);
		if (target === undefined) {
			refuse(malformedStatus);
			return;
		}

		const peer = toId<InstanceId>(String(headers[tunnelHeader.instance] ?? ''));
		if (!this.#options.isAllowed(peer, target)) {
			refuse(unavailableStatus);
			return;
		}

		this.#callers.set(caller, peer);
		caller.on('close', () => {
			this.#callers.delete(caller);
		});
		const timeout = Math.min(maximumConnectMilliseconds, Number(headers[tunnelHeader.connectTimeout]) || maximumConnectMilliseconds);
		openTarget(target, {
			timeout,
			caller,
			refuse,
			openTunnels: this.count,
			readAhead: this.#readAhead,
			recordResult: isOpen => this.#options.recordTarget(target, isOpen),
		});
	}

	/** Resets all tunnels, so that no answer that is under way looks complete. */
	close(): void {
		for (const caller of this.#callers.keys()) {
			// A reset fails while the end is being sent, and would leave the connection open.
			if (caller.writableEnded && caller.writableLength === 0) {
				caller.destroy();
			} else {
				caller.resetAndDestroy();
			}
		}
	}
}

type OpenTargetOptions = {
	readonly timeout: number;
	readonly caller: Socket;
	readonly refuse: (status: number) => void;
	/** The number of tunnels that are open, this one included. */
	readonly openTunnels: number;
	readonly readAhead: ReadAhead;
	/** Records whether the connection opened; returns whether the target is to blame for a failure. */
	readonly recordResult: (isOpen: boolean) => boolean;
};

function openTarget({host, port}: TunnelTarget, {timeout, caller, refuse, openTunnels, readAhead, recordResult}: OpenTargetOptions): void {
	const server = connect({
		host, port, allowHalfOpen: true, noDelay: true,
	});
	// The peer ends its side before it has an answer only if it has given up. Nothing would tell that later while the target is silent.
	const onCallerGone = (): void => {
		server.destroy();
		caller.destroy();
	};

	const fail = (status: number): void => {
		refuse(recordResult(false) ? status : unavailableStatus);
	};

	const stopTimeout = setTimeoutAfterPoll(timeout, () => {
		fail(tunnelStatus.targetUnanswered);
		server.destroy();
	});
	const onError = ({code}: NodeJS.ErrnoException): void => {
		stopTimeout();
		fail(code === 'ECONNREFUSED' ? tunnelStatus.targetRefused : tunnelStatus.targetUnanswered);
	};

	caller.once('end', onCallerGone);
	caller.once('close', onCallerGone);
	server.once('error', onError);
	server.once('close', stopTimeout);
	server.once('connect', () => {
		stopTimeout();
		caller.off('end', onCallerGone);
		caller.off('close', onCallerGone);
		server.off('error', onError);
		recordResult(true);
		caller.write(`HTTP/1.1 ${tunnelStatus.opened} Connection Established\r\n${tunnelHeader.openTunnels}: ${openTunnels}\r\n\r\n`);
		joinSockets(caller, server, readAhead);
	});
}
