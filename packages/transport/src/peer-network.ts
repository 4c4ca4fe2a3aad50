import {createServer, type IncomingMessage, type Server} from 'node:http';
import {type Socket} from 'node:net';
import {
	type Failure, failure, type HybridTimestamp, type InstanceId, toId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type WebSocket, WebSocketServer} from 'ws';
import {
	type Frame, decodeFrame, encodeFrame, maximumFrameBytes,
} from './_frame.js';
import {PeerLink} from './_peer-link.js';
import {type OpenedTunnel, openTunnel, type TunnelFailure} from './open-tunnel.js';
import {TunnelServer} from './tunnel-server.js';
import {type TunnelTarget} from './tunnel-target.js';

/** The address of a daemon's peer port. */
export type PeerAddress = {
	readonly instance: InstanceId;
	readonly host: string;
	readonly port: number;
};

/** Options for `PeerNetwork.listen`. */
export type PeerNetworkOptions<Message> = {
	readonly self: InstanceId;
	/** The secret that all daemons share. */
	readonly key: string;
	readonly host: string;
	/** The port to listen on; 0 selects a free one. */
	readonly port: number;
	/** The interval between heartbeats in milliseconds; a peer that is silent for three of them is given up. 1300 by default. */
	readonly pingMilliseconds?: number;
	/** Called with each message that expects no reply. */
	readonly onMessage: (from: InstanceId, message: Message) => unknown;
	/** Called with each request; its result is sent as the reply. */
	readonly onRequest: (from: InstanceId, message: Message) => Promise<unknown>;
	/** Called when a handler fails; the message then gets no reply. */
	readonly onHandlerError: (from: InstanceId, error: unknown) => void;
	/** Decides whether a peer may open a tunnel to a target through this daemon; by default none may. */
	readonly isTunnelAllowed?: (from: InstanceId, target: TunnelTarget) => boolean;
	/** Called when the connection of a tunnel to its target opens or fails. Returns whether the target is to blame for a failure, rather than the links of this daemon; by default it is. */
	readonly recordTunnelTarget?: (target: TunnelTarget, isOpen: boolean) => boolean;
	/** Returns the timestamp to send with a frame; by default frames have no timestamp. */
	readonly nextTimestamp?: () => HybridTimestamp;
	/** Called with the timestamp of each received frame that has one, before the frame's message is handled. */
	readonly onTimestamp?: (stamp: HybridTimestamp) => void;
};

/** Counters of the bytes and frames sent and received on all links. */
export type PeerTraffic = {
	bytesSent: number;
	bytesReceived: number;
	framesSent: number;
	framesReceived: number;
};

/** The replies that wait for a peer to read them, above which it is taken for faulty, in bytes: more than one of the longest frames. */
const maximumUnreadBytes = 2 * maximumFrameBytes;
const defaultTimeoutMilliseconds = 2000;
const upgradeRequiredStatus = 426;

/**
Exchanges typed messages and requests with other daemons, encoded with msgpackr over WebSocket. A link is opened on first use.

@example
```ts
const network = await PeerNetwork.listen(options);
const reply = await network.request(address, message);
```
*/
export class PeerNetwork<Message> {
	/**
	Starts listening for connections from peers.

	@param options The identity, address and message handlers of this daemon.
	@returns The network.
	@throws {Error} If the server cannot listen on the address.
	*/
	static async listen<Message>(options: PeerNetworkOptions<Message>): Promise<PeerNetwork<Message>> {
		const httpServer = createServer((_request, response) => {
			response.writeHead(upgradeRequiredStatus, {'Content-Length': 0, Connection: 'close'});
			response.end();
		});
		const server = new WebSocketServer({
			server: httpServer,
			maxPayload: maximumFrameBytes,
			perMessageDeflate: false,
			verifyClient: ({req}: {req: {headers: Record<string, unknown>}}) => req.headers.authorization === `Bearer ${options.key}`,
		});
		await new Promise<void>((resolve, reject) => {
			httpServer.once('listening', resolve);
			httpServer.once('error', reject);
			httpServer.listen(options.port, options.host);
		});
		return new PeerNetwork({httpServer, server}, options);
	}

	readonly traffic: PeerTraffic = {
		bytesSent: 0, bytesReceived: 0, framesSent: 0, framesReceived: 0,
	};

	readonly #httpServer: Server;
	readonly #server: WebSocketServer;
	readonly #tunnels: TunnelServer;
	readonly #options: PeerNetworkOptions<Message>;
	readonly #linksByInstance = new Map<InstanceId, PeerLink>();
	#blockedInstances: ReadonlySet<InstanceId> = new Set();

	private constructor({httpServer, server}: {readonly httpServer: Server; readonly server: WebSocketServer}, options: PeerNetworkOptions<Message>) {
		this.#httpServer = httpServer;
		this.#server = server;
		this.#options = options;
		this.#tunnels = new TunnelServer({
			key: options.key,
			isAllowed: (from, target) => !this.#blockedInstances.has(from) && options.isTunnelAllowed?.(from, target) === true,
			recordTarget: (target, isOpen) => options.recordTunnelTarget?.(target, isOpen) ?? true,
		});
		httpServer.on('connect', (request: IncomingMessage, socket: Socket) => {
			this.#tunnels.handle(request, socket);
		});
		server.on('connection', (socket, request) => {
			const from = toId<InstanceId>(String(request.headers['valehitch-instance'] ?? ''));
			socket.on('message', data => {
				void this.#receive(from, data as Uint8Array, frame => {
					this.#reply(socket, from, frame);
				});
			});
			socket.on('error', () => {
				socket.terminate();
			});
		});
	}

	/** The port the server listens on. */
	get port(): number {
		const address = this.#httpServer.address();
		return typeof address === 'object' && address !== null ? address.port : this.#options.port;
	}

	/**
	Simulates a network partition, for failure tests.

	@param instances The instances whose messages are dropped in both directions; replaces the previous set.
	*/
	setBlockedInstances(instances: ReadonlySet<InstanceId>): void {
		this.#blockedInstances = instances;
	}

	/**
	Sends a message without waiting for a reply. Delivery is not guaranteed.

	@param to The receiver.
	@param message The message.
	*/
	send(to: PeerAddress, message: Message): void {
		if (!this.#blockedInstances.has(to.instance)) {
			this.#linkTo(to).send(this.#encode({type: 'message', body: message}));
		}
	}

	/**
	Sends a request and waits for the reply.

	@param to The receiver.
	@param message The request.
	@param options `timeoutMilliseconds`: the time limit for the reply; 2000 by default.
	@returns The reply, or a `no-quorum` failure if none arrived in time. Its outcome is `unknown` unless the request was certainly not sent.
	*/
	async request(to: PeerAddress, message: Message, options: {readonly timeoutMilliseconds?: number} = {}): Promise<Either<Failure, unknown>> {
		if (this.#blockedInstances.has(to.instance)) {
			return Left(failure('no-quorum', `The link to ${to.instance} is blocked`));
		}

		const timeout = options.timeoutMilliseconds ?? defaultTimeoutMilliseconds;
		const reply = await this.#linkTo(to).request(id => this.#encode({type: 'request', id, body: message}), timeout);
		if (reply === 'not-sent') {
			return Left(failure('no-quorum', `Cannot connect to ${to.instance} within ${timeout} ms`));
		}

		return reply === undefined || this.#blockedInstances.has(to.instance)
			? Left(failure('no-quorum', `${to.instance} did not reply within ${timeout} ms`, {outcome: 'unknown'}))
			: Right(reply.body);
	}

	/** The number of tunnels that peers have open through this daemon. */
	get tunnelCount(): number {
		return this.#tunnels.count;
	}

	/** The peers that have these tunnels open. */
	get tunnelPeers(): ReadonlySet<InstanceId> {
		return this.#tunnels.peers;
	}

	/**
	Opens a connection to a target through a peer.

	@param peer The peer.
	@param target The address to connect to.
	@param options `timeoutMilliseconds`: the time limit; 2000 by default.
	@returns The connection, or why it was not opened. No byte reaches the target before it is open.
	*/
	async openTunnel(peer: PeerAddress, target: TunnelTarget, options: {readonly timeoutMilliseconds?: number} = {}): Promise<Either<TunnelFailure, OpenedTunnel>> {
		const {self, key} = this.#options;
		return this.#blockedInstances.has(peer.instance)
			? Left({type: 'peer-unavailable', reason: `The link to ${peer.instance} is blocked`})
			: openTunnel(peer, {
				self, key, target, timeout: options.timeoutMilliseconds ?? defaultTimeoutMilliseconds,
			});
	}

	/** Closes all links and tunnels, and stops listening. */
	async close(): Promise<void> {
		for (const link of this.#linksByInstance.values()) {
			link.close();
		}

		for (const socket of this.#server.clients) {
			socket.terminate();
		}

		this.#tunnels.close();
		this.#server.close();
		await new Promise<void>(resolve => {
			this.#httpServer.close(() => {
				resolve();
			});
			this.#httpServer.closeAllConnections();
		});
	}

	#linkTo(to: PeerAddress): PeerLink {
		const existing = this.#linksByInstance.get(to.instance);
		if (existing?.hasAddress(to)) {
			return existing;
		}

		existing?.close();
		const link = new PeerLink(to, {
			self: this.#options.self,
			key: this.#options.key,
			...(this.#options.pingMilliseconds !== undefined && {pingMilliseconds: this.#options.pingMilliseconds}),
			onReceived: (bytes, timestamp) => {
				this.#recordReceivedFrame(bytes, timestamp);
			},
		});
		this.#linksByInstance.set(to.instance, link);
		return link;
	}

	async #receive(from: InstanceId, data: Uint8Array, reply: (frame: Frame) => void): Promise<void> {
		const frame = decodeFrame(data);
		this.#recordReceivedFrame(data.byteLength, frame?.timestamp);
		if (frame === undefined || this.#blockedInstances.has(from)) {
			return;
		}

		try {
			await this.#handle(from, frame, reply);
		} catch (error) {
			// A faulty peer, or one of another version, may send the message again; an uncaught error would crash one process after another.
			this.#options.onHandlerError(from, error);
		}
	}

	async #handle(from: InstanceId, frame: Frame, reply: (frame: Frame) => void): Promise<void> {
		if (frame.type === 'message') {
			await this.#options.onMessage(from, frame.body as Message);
			return;
		}

		if (frame.type === 'request') {
			const body = await this.#options.onRequest(from, frame.body as Message);
			reply({type: 'reply', id: frame.id, body});
		}
	}

	#reply(socket: WebSocket, from: InstanceId, frame: Frame): void {
		if (socket.bufferedAmount <= maximumUnreadBytes) {
			socket.send(this.#encode(frame));
		} else if (socket.readyState === socket.OPEN) {
			this.#options.onHandlerError(from, new Error(`${from} does not read its replies, of which ${socket.bufferedAmount} bytes wait; its link is closed`));
			socket.terminate();
		}
	}

	#recordReceivedFrame(bytes: number, timestamp: HybridTimestamp | undefined): void {
		this.traffic.bytesReceived += bytes;
		this.traffic.framesReceived++;
		if (timestamp !== undefined) {
			this.#options.onTimestamp?.(timestamp);
		}
	}

	#encode(frame: Frame): Uint8Array {
		const data = encodeFrame(frame, this.#options.nextTimestamp?.());
		this.traffic.bytesSent += data.byteLength;
		this.traffic.framesSent++;
		return data;
	}
}
