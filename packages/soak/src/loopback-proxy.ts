import {once} from 'node:events';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout as elapsed} from 'node:timers/promises';

/** Where a proxy stands. */
export type LoopbackProxyOptions = {
	readonly host: string;
	/** The port to listen on; 0 takes a free one. */
	readonly port: number;
	/** Where connections are passed on to. */
	readonly target: {readonly host: string; readonly port: number};
	/** What happens to the bytes of one direction; asked for each chunk. */
	readonly ruleOf: (from: string, to: string) => LinkRule;
};

/** What happens to the bytes that go from one address to another. */
export type LinkRule = {
	/** Nothing arrives while this holds; it arrives late afterwards, as over TCP. */
	readonly isSilent: boolean;
	/** Milliseconds by which everything arrives later. */
	readonly delay: number;
};

/** The time between two looks whether a silent link speaks again. */
const pollMilliseconds = 50;

/**
Passes connections on to one process of a soak, and harms them from outside as the rules say.

@example
```ts
const proxy = await LoopbackProxy.start({host, port: 0, target, ruleOf});
proxy.reset();
```
*/
export class LoopbackProxy {
	/**
	Starts to listen.

	@param options Where the proxy stands.
	@returns The running proxy.
	*/
	static async start(options: LoopbackProxyOptions): Promise<LoopbackProxy> {
		const proxy = new LoopbackProxy(options);
		proxy.#server.listen(options.port, options.host);
		await once(proxy.#server, 'listening');
		return proxy;
	}

	readonly #options: LoopbackProxyOptions;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	private constructor(options: LoopbackProxyOptions) {
		this.#options = options;
		this.#server = createServer({allowHalfOpen: true}, socket => {
			this.#passOn(socket);
		});
	}

	/** The port that the proxy listens on. */
	get port(): number {
		const address = this.#server.address();
		return typeof address === 'object' && address !== null ? address.port : this.#options.port;
	}

	/** Resets all open connections. */
	reset(): void {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	close(): void {
		this.#server.close();
		this.reset();
	}

	#passOn(incoming: Socket): void {
		const {target, ruleOf} = this.#options;
		const from = incoming.remoteAddress ?? '';
		const outgoing = connect({...target, allowHalfOpen: true});
		this.#watch(incoming, outgoing);
		this.#watch(outgoing, incoming);
		carry(incoming, outgoing, () => ruleOf(from, target.host));
		carry(outgoing, incoming, () => ruleOf(target.host, from));
	}

	/** The end of one side by force is the end of the other. */
	#watch(socket: Socket, other: Socket): void {
		this.#sockets.add(socket);
		socket.on('error', () => {
			other.resetAndDestroy();
		});
		socket.on('close', hadError => {
			this.#sockets.delete(socket);
			if (hadError) {
				other.resetAndDestroy();
			}
		});
	}
}

/** Carries one direction chunk by chunk, in order. */
function carry(from: Socket, to: Socket, rule: () => LinkRule): void {
	let last: Promise<void> = Promise.resolve();
	const later = (step: () => void): void => {
		last = pass(last, rule, step);
	};

	from.on('data', chunk => {
		later(() => {
			to.write(chunk);
		});
	});
	from.on('end', () => {
		later(() => {
			to.end();
		});
	});
}

async function pass(last: Promise<void>, rule: () => LinkRule, step: () => void): Promise<void> {
	await last;
	const {delay} = rule();
	if (delay > 0) {
		await elapsed(delay);
	}

	while (rule().isSilent) {
		await elapsed(pollMilliseconds);
	}

	step();
}
