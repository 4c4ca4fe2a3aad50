import {once} from 'node:events';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** Where a proxy listens, and what it forwards to. */
export type LoopbackProxyOptions = {
	readonly host: string;
	/** The port to listen on; 0 picks a free one. */
	readonly port: number;
	/** The address to which connections are forwarded. */
	readonly target: {readonly host: string; readonly port: number};
	/** Returns the rule for one direction; called for each chunk. */
	readonly ruleOf: (from: string, to: string) => LinkRule;
};

/** A fault of the link from one address to another. */
export type LinkRule = {
	/** Whether the proxy holds bytes back. It delivers them after the fault, as TCP retransmits after a partition. */
	readonly isSilent: boolean;
	/** The delay of each chunk, in milliseconds. */
	readonly delay: number;
};

/** How often to check whether a silent link has recovered. */
const rulePollMilliseconds = 50;

/**
Forwards connections to one process of a soak, and injects the link faults that the rules describe.

@example
```ts
const proxy = await LoopbackProxy.start({host, port: 0, target, ruleOf});
proxy.reset();
```
*/
export class LoopbackProxy {
	/**
	Starts a proxy.

	@param options Where the proxy listens, and what it forwards to.
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
			this.#forward(socket);
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

	/** Refuses new connections, as a machine does whose process has exited; open ones go on. */
	stopListening(): void {
		this.#server.close();
	}

	close(): void {
		this.#server.close();
		this.reset();
	}

	#forward(incoming: Socket): void {
		const {target, ruleOf} = this.#options;
		const from = incoming.remoteAddress ?? '';
		const outgoing = connect({...target, allowHalfOpen: true});
		this.#propagateReset(incoming, outgoing);
		this.#propagateReset(outgoing, incoming);
		forwardDirection(incoming, outgoing, () => ruleOf(from, target.host));
		forwardDirection(outgoing, incoming, () => ruleOf(target.host, from));
	}

	/** Resets the other side of a connection when this one fails. */
	#propagateReset(socket: Socket, other: Socket): void {
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

/** Forwards one direction of a connection chunk by chunk, in order. */
function forwardDirection(from: Socket, to: Socket, rule: () => LinkRule): void {
	let previous: Promise<void> = Promise.resolve();
	const enqueue = (action: () => void): void => {
		previous = applyRule(previous, rule, action);
	};

	from.on('data', chunk => {
		enqueue(() => {
			to.write(chunk);
		});
	});
	from.on('end', () => {
		enqueue(() => {
			to.end();
		});
	});
}

async function applyRule(previous: Promise<void>, rule: () => LinkRule, action: () => void): Promise<void> {
	await previous;
	const {delay} = rule();
	if (delay > 0) {
		await sleep(delay);
	}

	while (rule().isSilent) {
		await sleep(rulePollMilliseconds);
	}

	action();
}
