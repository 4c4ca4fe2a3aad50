import {request as openRequest} from 'node:http';
import {type Socket} from 'node:net';
import {type InstanceId} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type PeerAddress} from './peer-network.js';
import {setTimeoutAfterPoll} from './set-timeout-after-poll.js';
import {tunnelHeader, tunnelStatus, type TunnelTarget} from './tunnel-target.js';

/** Why a tunnel was not opened: the peer is unreachable or refuses to open tunnels, the target refused the connection, or the target did not answer. */
export type TunnelFailure = {
	readonly type: 'peer-unavailable' | 'target-refused' | 'target-unanswered';
	readonly reason: string;
};

/** An open tunnel. */
export type OpenedTunnel = {
	readonly socket: Socket;
	/** The number of tunnels that are open through the peer, as it says; undefined if it does not say. */
	readonly relayTunnels: number | undefined;
};

/** Options of {@linkcode openTunnel}. */
export type OpenTunnelOptions = {
	readonly self: InstanceId;
	/** The secret that all daemons share. */
	readonly key: string;
	readonly target: TunnelTarget;
	/** The time within which the tunnel must be open, in milliseconds. */
	readonly timeout: number;
};

/** The part of the time that the peer may take to reach the target, so that its verdict still arrives in time. */
const targetShare = 0.75;

/**
Opens a connection to a target through a peer, by a CONNECT request (RFC 9110, section 9.3.6). No byte reaches the target before the tunnel is open.

@param peer The peer.
@param options The target and the time limit.
@returns The connection, or why it was not opened.
@example
```ts
const opened = await openTunnel(peer, {self, key, target: {host: '10.0.0.7', port: 8740}, timeout: 400});
```
*/
export async function openTunnel(peer: PeerAddress, {self, key, target, timeout}: OpenTunnelOptions): Promise<Either<TunnelFailure, OpenedTunnel>> {
	return new Promise(resolve => {
		const startedAt = performance.now();
		const request = openRequest({
			host: peer.host,
			port: peer.port,
			method: 'CONNECT',
			path: `${target.host}:${target.port}`,
			agent: false,
			headers: {authorization: `Bearer ${key}`, [tunnelHeader.instance]: self, [tunnelHeader.connectTimeout]: String(Math.ceil(targetShare * timeout))},
		});
		const fail = (type: TunnelFailure['type'], reason: string): void => {
			stopTimeout();
			resolve(Left({type, reason}));
			request.destroy();
		};

		const stopTimeout = setTimeoutAfterPoll(timeout, () => {
			fail('peer-unavailable', `No answer from ${peer.instance} within ${timeout} ms (noticed after ${Math.round(performance.now() - startedAt)} ms)`);
		});
		request.on('connect', ({statusCode = 0, headers}, socket: Socket, head: Uint8Array) => {
			stopTimeout();
			if (statusCode === tunnelStatus.opened) {
				if (head.byteLength > 0) {
					socket.unshift(head);
				}

				resolve(Right({socket, relayTunnels: parseCount(headers[tunnelHeader.openTunnels])}));
				return;
			}

			socket.destroy();
			resolve(Left({type: failureTypeOf(statusCode), reason: `${peer.instance} answered ${statusCode}`}));
		});
		request.on('response', ({statusCode}) => {
			fail('peer-unavailable', `${peer.instance} answered ${statusCode}`);
		});
		request.on('error', ({message}) => {
			fail('peer-unavailable', message);
		});
		request.end();
	});
}

function failureTypeOf(status: number): TunnelFailure['type'] {
	switch (status) {
		case tunnelStatus.targetRefused: {
			return 'target-refused';
		}

		case tunnelStatus.targetUnanswered: {
			return 'target-unanswered';
		}

		default: {
			return 'peer-unavailable';
		}
	}
}

function parseCount(value: string | readonly string[] | undefined): number | undefined {
	return typeof value === 'string' && /^\d{1,6}$/v.test(value) ? Number(value) : undefined;
}
