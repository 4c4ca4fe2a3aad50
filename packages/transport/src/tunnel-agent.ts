import {Agent, type AgentOptions, type ClientRequestArgs} from 'node:http';
import {type Either} from 'purify-ts';
import {type OpenedTunnel, type TunnelFailure} from './open-tunnel.js';
import {type TunnelTarget} from './tunnel-target.js';

/** Opens a tunnel to a target. */
export type OpenTunnel = (target: TunnelTarget) => Promise<Either<TunnelFailure, OpenedTunnel>>;

type ConnectionCallback = NonNullable<Parameters<Agent['createConnection']>[1]>;

/** The error of a request whose tunnel could not be opened. */
export class TunnelError extends Error {
	override readonly name = 'TunnelError';
	/** Whose fault it is. */
	readonly type: TunnelFailure['type'];

	constructor({type, reason}: TunnelFailure) {
		super(reason);
		this.type = type;
	}
}

/**
A pool of connections that are opened as tunnels.

@example
```ts
const pool = new TunnelAgent(openTunnel, {keepAlive: true});
```
*/
export class TunnelAgent extends Agent {
	readonly #open: OpenTunnel;

	constructor(open: OpenTunnel, options: AgentOptions) {
		super(options);
		this.#open = open;
	}

	override createConnection({host, port}: ClientRequestArgs, callback: ConnectionCallback): undefined {
		void this.#connect({host: host ?? '', port: Number(port)}, callback);
	}

	async #connect(target: TunnelTarget, callback: ConnectionCallback): Promise<void> {
		const opened = await this.#open(target);
		opened.caseOf({
			Left(failed) {
				// Node ignores the stream if there is an error.
				(callback as (error: Error) => void)(new TunnelError(failed));
			},
			Right({socket}) {
				callback(null, socket);
			},
		});
	}
}
