import {
	type Failure, failure, type HybridTimestamp, type InstanceId, toId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {WebSocketServer} from 'ws';
import {type Frame, readFrame, writeFrame} from './_frame.js';
import {PeerLink} from './_peer-link.js';

/** Where the peers' port of a daemon is. */
export type PeerAddress = {
	readonly instance: InstanceId;
	readonly host: string;
	readonly port: number;
};

/** What a network of daemons needs. */
export type PeerNetworkOptions<Message> = {
	readonly self: InstanceId;
	/** The key that all daemons share. */
	readonly key: string;
	readonly host: string;
	/** The port to listen on; 0 takes a free one. */
	readonly port: number;
	/** Milliseconds between two checks that a peer still answers; 2000 unless given. */
	readonly pingMilliseconds?: number;
	/** Called with each message that wants no reply. */
	readonly onMessage: (from: InstanceId, message: Message) => unknown;
	/** Called with each request; what it gives is the reply. */
	readonly onRequest: (from: InstanceId, message: Message) => Promise<unknown>;
	/** Told why a message could not be handled; it gets no reply. */
	readonly onFailure: (from: InstanceId, error: unknown) => void;
	/** Gives the time stamp that goes with a frame; frames have none unless given. */
	readonly stamp?: () => HybridTimestamp;
	/** Called with the time stamp of each frame that came with one, before the frame's message. */
	readonly onStamp?: (stamp: HybridTimestamp) => void;
};

/** Counts what went over the links, in bytes and frames. */
export type PeerTraffic = {
	bytesSent: number;
	bytesReceived: number;
	framesSent: number;
	framesReceived: number;
};

const maximumFrameBytes = 16 * 1024 * 1024;
const defaultTimeoutMilliseconds = 2000;

/**
The links between daemons: typed messages and requests by msgpackr over ws; a link is opened when it is first used.

@example
```ts
const network = await PeerNetwork.listen(options);
const reply = await network.request(address, message);
```
*/
export class PeerNetwork<Message> {
	/**
	Starts to listen.

	@param options Who this daemon is and what it does with messages.
	@returns The network.
	@throws If the port cannot be opened.
	*/
	static async listen<Message>(options: PeerNetworkOptions<Message>): Promise<PeerNetwork<Message>> {
		const server = new WebSocketServer({
			host: options.host,
			port: options.port,
			maxPayload: maximumFrameBytes,
			perMessageDeflate: false,
			verifyClient: ({req}: {req: {headers: Record<string, unknown>}}) => req.headers.authorization === `Bearer ${options.key}`,
		});
		await new Promise<void>((resolve, reject) => {
			server.once('listening', resolve);
			server.once('error', reject);
		});
		return new PeerNetwork(server, options);
	}

	readonly traffic: PeerTraffic = {
		bytesSent: 0, bytesReceived: 0, framesSent: 0, framesReceived: 0,
	};

	readonly #server: WebSocketServer;
	readonly #options: PeerNetworkOptions<Message>;
	readonly #links = new Map<InstanceId, PeerLink>();
	#cut: ReadonlySet<InstanceId> = new Set();

	private constructor(server: WebSocketServer, options: PeerNetworkOptions<Message>) {
		this.#server = server;
		this.#options = options;
		server.on('connection', (socket, request) => {
			const from = toId<InstanceId>(String(request.headers['valehitch-instance'] ?? ''));
			socket.on('message', data => {
				void this.#receive(from, data as Uint8Array, frame => {
					socket.send(this.#write(frame));
				});
			});
			socket.on('error', () => {
				socket.terminate();
			});
		});
	}

	/** The port that the network listens on. */
	get port(): number {
		const address = this.#server.address();
		return typeof address === 'object' && address !== null ? address.port : this.#options.port;
	}

	/**
	Cuts the links with some instances; for failure tests.

	@param instances The instances that neither hear from this one nor are heard.
	*/
	cut(instances: ReadonlySet<InstanceId>): void {
		this.#cut = instances;
	}

	/**
	Sends a message that wants no reply; it may be lost.

	@param to The receiver.
	@param message The message.
	*/
	send(to: PeerAddress, message: Message): void {
		if (!this.#cut.has(to.instance)) {
			this.#link(to).send(this.#write({type: 'message', body: message}));
		}
	}

	/**
	Sends a request and waits for the reply.

	@param to The receiver.
	@param message The request.
	@param options `timeoutMilliseconds`: how long to wait, 2000 unless given.
	@returns The reply; a failure `no-quorum` where none came in time, with the outcome `unknown` unless the request was surely not sent.
	*/
	async request(to: PeerAddress, message: Message, options: {readonly timeoutMilliseconds?: number} = {}): Promise<Either<Failure, unknown>> {
		if (this.#cut.has(to.instance)) {
			return Left(failure('no-quorum', `Got no link to ${to.instance}, wanted a reply`));
		}

		const timeout = options.timeoutMilliseconds ?? defaultTimeoutMilliseconds;
		const reply = await this.#link(to).request(id => this.#write({type: 'request', id, body: message}), timeout);
		if (reply === 'not-sent') {
			return Left(failure('no-quorum', `Got no link to ${to.instance} in ${timeout} ms, wanted a reply`));
		}

		return reply === undefined || this.#cut.has(to.instance)
			? Left(failure('no-quorum', `Got no reply from ${to.instance} in ${timeout} ms`, {outcome: 'unknown'}))
			: Right(reply.body);
	}

	/** Closes all links and the port. */
	async close(): Promise<void> {
		for (const link of this.#links.values()) {
			link.close();
		}

		for (const socket of this.#server.clients) {
			socket.terminate();
		}

		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#link(to: PeerAddress): PeerLink {
		const known = this.#links.get(to.instance);
		if (known?.isFor(to)) {
			return known;
		}

		known?.close();
		const link = new PeerLink(to, {
			self: this.#options.self,
			key: this.#options.key,
			...(this.#options.pingMilliseconds !== undefined && {pingMilliseconds: this.#options.pingMilliseconds}),
			onReceived: (bytes, stamp) => {
				this.#note(bytes, stamp);
			},
		});
		this.#links.set(to.instance, link);
		return link;
	}

	async #receive(from: InstanceId, data: Uint8Array, reply: (frame: Frame) => void): Promise<void> {
		const frame = readFrame(data);
		this.#note(data.byteLength, frame?.stamp);
		if (frame === undefined || this.#cut.has(from)) {
			return;
		}

		try {
			await this.#handle(from, frame, reply);
		} catch (error) {
			// A peer of another version, or a broken one, sends it again: it must not end one process after the other.
			this.#options.onFailure(from, error);
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

	#note(bytes: number, stamp: HybridTimestamp | undefined): void {
		this.traffic.bytesReceived += bytes;
		this.traffic.framesReceived++;
		if (stamp !== undefined) {
			this.#options.onStamp?.(stamp);
		}
	}

	#write(frame: Frame): Uint8Array {
		const data = writeFrame(frame, this.#options.stamp?.());
		this.traffic.bytesSent += data.byteLength;
		this.traffic.framesSent++;
		return data;
	}
}
