import {type Clock, type ServerId} from '@valehitch/core';
import {ServerLinkDetector} from '@valehitch/routing';
import {type DecisionLog} from '../logs/decision-log.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';

/** Options of {@linkcode ServerLinks}. */
export type ServerLinksOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly log: DecisionLog;
	readonly metrics: Pick<GatewayMetrics, 'unreachableServers'>;
};

/**
The links of an entry instance to backend servers, as its own connections show them.

@example
```ts
const links = new ServerLinks({clock, log, metrics});
links.recordUnreachable(server);
links.recordConnected();
```
*/
export class ServerLinks {
	readonly #options: ServerLinksOptions;
	readonly #detector = new ServerLinkDetector();

	constructor(options: ServerLinksOptions) {
		this.#options = options;
	}

	/**
	Records that no connection to a server could be opened.

	@param server The server.
	*/
	recordUnreachable(server: ServerId): void {
		const {clock, log} = this.#options;
		if (this.#detector.recordUnreachable(server, clock.monotonic())) {
			log('servers-unreachable', {servers: [...this.#detector.unreachable], ...this.#evidence()}, 'warn');
		}

		this.#count();
	}

	/** Records that a new connection to a server was opened. */
	recordConnected(): void {
		const evidence = this.#evidence();
		if (this.#detector.recordConnected()) {
			this.#options.log('servers-reachable', evidence, 'warn');
		}

		this.#count();
	}

	#evidence(): {readonly unreachable: number; readonly duration: number} {
		const {unreachable, since} = this.#detector;
		const now = this.#options.clock.monotonic();
		return {unreachable: unreachable.size, duration: Math.round(now - (since ?? now))};
	}

	#count(): void {
		this.#options.metrics.unreachableServers.set(this.#detector.unreachable.size);
	}
}
