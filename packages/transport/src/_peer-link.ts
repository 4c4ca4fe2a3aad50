import {type HybridTimestamp, type InstanceId} from '@valehitch/core';
import {match} from 'ts-pattern';
import {WebSocket} from 'ws';
import {type Frame, decodeFrame, maximumFrameBytes} from './_frame.js';
import {HeartbeatMonitor} from './heartbeat-monitor.js';
import {type PeerAddress} from './peer-network.js';
import {setIntervalAfterPoll} from './set-interval-after-poll.js';
import {setTimeoutAfterPoll} from './set-timeout-after-poll.js';

type PendingRequest = {
	readonly settle: (frame: (Frame & {type: 'reply'}) | undefined) => void;
	readonly cancelTimeout: () => void;
};

/** The result of a request: the reply, `not-sent` if the request certainly did not leave this process, or undefined if the peer may have received it. */
export type PeerRequestResult = (Frame & {type: 'reply'}) | 'not-sent' | undefined;

type PeerLinkOptions = {
	readonly self: InstanceId;
	readonly key: string;
	/** Called with the size of each reply in bytes and the sender's timestamp. */
	readonly onReceived: (bytes: number, timestamp: HybridTimestamp | undefined) => void;
	/** The interval between heartbeats in milliseconds; a peer that is silent for three of them is given up. 1300 by default. */
	readonly pingMilliseconds?: number;
};

/** A connection within a region opens within a few milliseconds. A SYN packet to an instance without power is lost, and the kernel retransmits it only after 1 s. */
const connectTimeoutMilliseconds = 300;
/** Each attempt waits twice as long as the one before, because a busy peer accepts connections late: 0.3, 0.6 and 1.2 s. Frames are queued for that time before they are dropped. */
const connectBackoffFactor = 2;
const maximumConnectAttempts = 3;
const defaultPingMilliseconds = 1300;
const maximumIdleHeartbeats = 45;
const maximumBufferedBytes = 4 * 1024 * 1024;
const maximumQueuedFrames = 1000;

/** An outgoing link to a peer. The connection is opened on first use and reopened on the next use after it was lost. */
export class PeerLink {
	readonly #address: PeerAddress;
	readonly #options: PeerLinkOptions;
	readonly #pendingRequests = new Map<number, PendingRequest>();
	#socket: WebSocket | undefined;
	#queuedFrames: Uint8Array[] = [];
	#queuedBytes = 0;
	#lastId = 0;
	#heartbeat: HeartbeatMonitor | undefined;

	constructor(address: PeerAddress, options: PeerLinkOptions) {
		this.#address = address;
		this.#options = options;
	}

	hasAddress(address: PeerAddress): boolean {
		return address.host === this.#address.host && address.port === this.#address.port;
	}

	send(data: Uint8Array): void {
		this.#heartbeat?.recordUse();
		const socket = this.#getOrOpenSocket();
		if (socket.readyState === WebSocket.OPEN) {
			if (socket.bufferedAmount < maximumBufferedBytes) {
				socket.send(data);
			}

			return;
		}

		if (this.#queuedFrames.length < maximumQueuedFrames && this.#queuedBytes < maximumBufferedBytes) {
			this.#queuedFrames.push(data);
			this.#queuedBytes += data.byteLength;
		}
	}

	async request(encode: (id: number) => Uint8Array, timeoutMilliseconds: number): Promise<PeerRequestResult> {
		const id = ++this.#lastId;
		const data = encode(id);
		return new Promise(resolve => {
			const settle = (frame: (Frame & {type: 'reply'}) | undefined): void => {
				this.#removePendingRequest(id);
				resolve(frame ?? (this.#removeQueuedFrame(data) ? 'not-sent' : undefined));
			};

			const cancelTimeout = setTimeoutAfterPoll(timeoutMilliseconds, () => {
				settle(undefined);
			});
			this.#pendingRequests.set(id, {settle, cancelTimeout});
			this.send(data);
		});
	}

	close(): void {
		this.#socket?.terminate();
		this.#discardSocket(this.#socket);
	}

	#getOrOpenSocket(): WebSocket {
		return this.#socket !== undefined && this.#socket.readyState <= WebSocket.OPEN ? this.#socket : this.#connect(1);
	}

	/** Opens a connection. If it times out, another attempt follows and the queued frames are kept. */
	#connect(attempt: number): WebSocket {
		const socket = new WebSocket(`ws://${this.#address.host}:${this.#address.port}/`, {
			headers: {authorization: `Bearer ${this.#options.key}`, 'valehitch-instance': this.#options.self},
			perMessageDeflate: false,
			maxPayload: maximumFrameBytes,
		});
		this.#socket = socket;
		let hasTimedOut = false;
		const cancelTimeout = setTimeoutAfterPoll(connectTimeoutMilliseconds * (connectBackoffFactor ** (attempt - 1)), () => {
			hasTimedOut = true;
			socket.terminate();
		});
		socket.on('open', () => {
			cancelTimeout();
			this.#startHeartbeat(socket);
			for (const data of this.#takeQueuedFrames()) {
				socket.send(data);
			}
		});
		socket.on('message', data => {
			this.#receive(data as Uint8Array);
		});
		socket.on('error', () => {
			socket.terminate();
		});
		socket.on('close', () => {
			cancelTimeout();
			if (hasTimedOut && attempt < maximumConnectAttempts && this.#socket === socket) {
				this.#connect(attempt + 1);
			} else {
				this.#discardSocket(socket);
			}
		});
		return socket;
	}

	/** Closes the connection if it is idle or if the peer falls silent, which TCP alone would detect only after minutes. */
	#startHeartbeat(socket: WebSocket): void {
		const monitor = new HeartbeatMonitor({maximumIdle: maximumIdleHeartbeats});
		this.#heartbeat = monitor;
		socket.on('pong', () => {
			monitor.recordData();
		});
		const stopHeartbeat = setIntervalAfterPoll(this.#options.pingMilliseconds ?? defaultPingMilliseconds, () => {
			match(monitor.beat())
				.with('none', () => undefined)
				.with('ping', () => {
					socket.ping();
				})
				.with('close', () => {
					socket.terminate();
				})
				.exhaustive();
		});
		socket.on('close', stopHeartbeat);
	}

	#receive(data: Uint8Array): void {
		this.#heartbeat?.recordData();
		const frame = decodeFrame(data);
		if (frame?.type === 'reply') {
			this.#options.onReceived(data.byteLength, frame.timestamp);
			this.#pendingRequests.get(frame.id)?.settle(frame);
		}
	}

	#discardSocket(socket: WebSocket | undefined): void {
		if (this.#socket !== socket) {
			return;
		}

		this.#socket = undefined;
		for (const {settle} of this.#pendingRequests.values()) {
			settle(undefined);
		}

		this.#takeQueuedFrames();
	}

	#takeQueuedFrames(): readonly Uint8Array[] {
		const frames = this.#queuedFrames;
		this.#queuedFrames = [];
		this.#queuedBytes = 0;
		return frames;
	}

	/** Removes a frame that is still queued; returns false if it was already sent or dropped. */
	#removeQueuedFrame(data: Uint8Array): boolean {
		const index = this.#queuedFrames.indexOf(data);
		if (index === -1) {
			return false;
		}

		this.#queuedFrames.splice(index, 1);
		this.#queuedBytes -= data.byteLength;
		return true;
	}

	#removePendingRequest(id: number): void {
		this.#pendingRequests.get(id)?.cancelTimeout();
		this.#pendingRequests.delete(id);
	}
}
