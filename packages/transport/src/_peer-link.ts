import {type HybridTimestamp, type InstanceId} from '@valehitch/core';
import {WebSocket} from 'ws';
import {type Frame, readFrame} from './_frame.js';
import {type PeerAddress} from './peer-network.js';
import {intervalAfterInput} from './interval-after-input.js';
import {timeoutAfterInput} from './timeout-after-input.js';

type Waiting = {
	readonly settle: (frame: (Frame & {type: 'reply'}) | undefined) => void;
	readonly stopTimeout: () => void;
};

/** What came of a request: the reply, that it was surely not sent, or nothing where the receiver may have got it. */
export type PeerReply = (Frame & {type: 'reply'}) | 'not-sent' | undefined;

type PeerLinkOptions = {
	readonly self: InstanceId;
	readonly key: string;
	/** Told the size of each reply in bytes, and the time stamp that came with it. */
	readonly onReceived: (bytes: number, stamp: HybridTimestamp | undefined) => void;
	/** Milliseconds between two checks that the peer still answers; 2000 unless given. */
	readonly pingMilliseconds?: number;
};

/** A connection within a region opens in some milliseconds; the packet that opens one to an instance without power is lost, and the system repeats it only after a second. */
const openTimeoutMilliseconds = 300;
/** Each attempt may take twice as long as the one before, since a busy peer answers late: 0.3, 0.6 and 1.2 s, for which frames wait for the link before they are dropped. */
const openBackoff = 2;
const maximumOpenAttempts = 3;
const defaultPingMilliseconds = 2000;
const idlePingsBeforeClose = 30;
const maximumBufferedBytes = 4 * 1024 * 1024;
const maximumQueuedFrames = 1000;

/** One outgoing link; it is opened when it is used and opened again after it broke. */
export class PeerLink {
	readonly #to: PeerAddress;
	readonly #options: PeerLinkOptions;
	readonly #waiting = new Map<number, Waiting>();
	#socket: WebSocket | undefined;
	#queue: Uint8Array[] = [];
	#lastId = 0;
	#isUsed = false;

	constructor(to: PeerAddress, options: PeerLinkOptions) {
		this.#to = to;
		this.#options = options;
	}

	isFor(to: PeerAddress): boolean {
		return to.host === this.#to.host && to.port === this.#to.port;
	}

	send(data: Uint8Array): void {
		this.#isUsed = true;
		const socket = this.#open();
		if (socket.readyState === WebSocket.OPEN) {
			if (socket.bufferedAmount < maximumBufferedBytes) {
				socket.send(data);
			}

			return;
		}

		if (this.#queue.length < maximumQueuedFrames) {
			this.#queue.push(data);
		}
	}

	async request(write: (id: number) => Uint8Array, timeoutMilliseconds: number): Promise<PeerReply> {
		const id = ++this.#lastId;
		const data = write(id);
		return new Promise(resolve => {
			const settle = (frame: (Frame & {type: 'reply'}) | undefined): void => {
				this.#forget(id);
				resolve(frame ?? (this.#withdraw(data) ? 'not-sent' : undefined));
			};

			const stopTimeout = timeoutAfterInput(timeoutMilliseconds, () => {
				settle(undefined);
			});
			this.#waiting.set(id, {settle, stopTimeout});
			this.send(data);
		});
	}

	close(): void {
		this.#socket?.terminate();
		this.#lose(this.#socket);
	}

	#open(): WebSocket {
		return this.#socket !== undefined && this.#socket.readyState <= WebSocket.OPEN ? this.#socket : this.#connect(1);
	}

	/** Opens a connection; one that is not open in time is given up for another, which keeps the frames that wait. */
	#connect(attempt: number): WebSocket {
		const socket = new WebSocket(`ws://${this.#to.host}:${this.#to.port}/`, {
			headers: {authorization: `Bearer ${this.#options.key}`, 'valehitch-instance': this.#options.self},
			perMessageDeflate: false,
		});
		this.#socket = socket;
		let isTooSlow = false;
		const stopTimeout = timeoutAfterInput(openTimeoutMilliseconds * (openBackoff ** (attempt - 1)), () => {
			isTooSlow = true;
			socket.terminate();
		});
		socket.on('open', () => {
			stopTimeout();
			this.#watch(socket);
			for (const data of this.#queue.splice(0)) {
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
			stopTimeout();
			if (isTooSlow && attempt < maximumOpenAttempts && this.#socket === socket) {
				this.#connect(attempt + 1);
			} else {
				this.#lose(socket);
			}
		});
		return socket;
	}

	/** Ends a connection whose peer no longer answers, which TCP alone would notice after minutes, and one that is no longer used. */
	#watch(socket: WebSocket): void {
		let isAlive = true;
		let idlePings = 0;
		socket.on('pong', () => {
			isAlive = true;
		});
		const look = (): void => {
			idlePings = this.#isUsed ? 0 : idlePings + 1;
			this.#isUsed = false;
			if (!isAlive || idlePings > idlePingsBeforeClose) {
				socket.terminate();
				return;
			}

			isAlive = false;
			socket.ping();
		};

		const stopLooking = intervalAfterInput(this.#options.pingMilliseconds ?? defaultPingMilliseconds, look);
		socket.on('close', stopLooking);
	}

	#receive(data: Uint8Array): void {
		const frame = readFrame(data);
		if (frame?.type === 'reply') {
			this.#options.onReceived(data.byteLength, frame.stamp);
			this.#waiting.get(frame.id)?.settle(frame);
		}
	}

	#lose(socket: WebSocket | undefined): void {
		if (this.#socket !== socket) {
			return;
		}

		this.#socket = undefined;
		for (const {settle} of this.#waiting.values()) {
			settle(undefined);
		}

		this.#queue = [];
	}

	/** Takes a frame back that still waits for the link to open. */
	#withdraw(data: Uint8Array): boolean {
		const index = this.#queue.indexOf(data);
		if (index === -1) {
			return false;
		}

		this.#queue.splice(index, 1);
		return true;
	}

	#forget(id: number): void {
		this.#waiting.get(id)?.stopTimeout();
		this.#waiting.delete(id);
	}
}
