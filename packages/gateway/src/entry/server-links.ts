import {type Clock, type RandomSource, type ServerId} from '@valehitch/core';
import {ServerLinkDetector} from '@valehitch/routing';
import {type DecisionLog} from '../logs/decision-log.js';
import {type GatewayMetrics} from '../logs/gateway-metrics.js';
import {type ServerRecord} from '../servers/server-record.js';

/** Options of {@linkcode ServerLinks}. */
export type ServerLinksOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly random: RandomSource;
	readonly log: DecisionLog;
	readonly metrics: Pick<GatewayMetrics, 'unreachableServers'>;
	/** Returns the servers that may be tried. */
	readonly servers: () => readonly ServerRecord[];
	/** Checks whether a server accepts a connection. */
	readonly isReachable: (server: ServerRecord) => Promise<boolean>;
	readonly wait: (milliseconds: number) => Promise<void>;
	/** Called when the instance finds that it reaches no server, so that what its failed connections seemed to say of servers can be forgotten. */
	readonly onCutOff: () => void;
};

/** The number of servers to which trial connections are opened at the same time. */
const trialCount = 3;
/** The interval between trials while no server is reachable, in milliseconds; up to half of it is added at random, so that instances do not return at the same moment. */
const trialMilliseconds = 250;

/**
The links of an entry instance to backend servers, as its own connections show them. When several servers in a row are unreachable, trial connections to others decide whether the instance is cut off from all of them, and later when it is not any more.

@example
```ts
const links = new ServerLinks({clock, random, log, metrics, servers, isReachable, wait, onCutOff});
links.recordUnreachable(server);
links.isCutOff;
```
*/
export class ServerLinks {
	readonly #options: ServerLinksOptions;
	readonly #detector = new ServerLinkDetector();
	#isStopped = false;

	constructor(options: ServerLinksOptions) {
		this.#options = options;
	}

	/** Whether this instance reaches no server. */
	get isCutOff(): boolean {
		return this.#detector.state === 'cut-off';
	}

	/** Whether nothing speaks against the links. */
	get areConnected(): boolean {
		return this.#detector.state === 'connected';
	}

	/**
	Records that no connection to a server could be opened.

	@param server The server.
	*/
	recordUnreachable(server: ServerId): void {
		if (this.#detector.recordUnreachable(server, this.#options.clock.monotonic())) {
			void this.#tryUntilConnected();
		}

		this.#count();
	}

	/** Records that a new connection to a server was opened. */
	recordConnected(): void {
		const evidence = this.#evidence();
		const wasCutOff = this.isCutOff;
		this.#detector.recordConnected();
		if (wasCutOff) {
			this.#options.log('servers-reachable', evidence, 'warn');
		}

		this.#count();
	}

	/** Ends the trials. */
	stop(): void {
		this.#isStopped = true;
	}

	async #tryUntilConnected(): Promise<void> {
		const {random, wait, log, onCutOff} = this.#options;
		while (!this.areConnected && !this.#isStopped) {
			if (await this.#trySome()) {
				this.recordConnected();
				return;
			}

			if (this.#detector.recordTrialsFailed()) {
				log('servers-unreachable', {servers: [...this.#detector.unreachable], ...this.#evidence()}, 'warn');
				onCutOff();
			}

			await wait(trialMilliseconds * (1 + (random() / 2)));
		}
	}

	/** Tries servers that have not failed, if there are any. */
	async #trySome(): Promise<boolean> {
		const {servers, random, isReachable} = this.#options;
		const candidates = servers().map(server => ({server, order: random() + (this.#detector.unreachable.has(server.id) ? 1 : 0)}));
		const chosen = candidates.toSorted((one, other) => one.order - other.order).slice(0, trialCount);
		const results = await Promise.all(chosen.map(async ({server}) => isReachable(server)));
		return results.includes(true);
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
