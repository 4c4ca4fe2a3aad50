import {
	type Clock, type RandomSource, type ServerId, type ServiceId,
} from '@valehitch/core';
import {ServerLinkDetector} from './server-link-detector.js';

/** Options of {@linkcode ServiceLinks}. */
export type ServiceLinksOptions<Server extends LinkedServer = LinkedServer> = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly random: RandomSource;
	/** Returns the servers of the service that may be tried. */
	readonly servers: () => readonly Server[];
	/** Checks whether a server accepts a connection. */
	readonly isReachable: (server: Server) => Promise<boolean>;
	readonly wait: (milliseconds: number) => Promise<void>;
	/** Called when the instance finds that it reaches no server of the service, so that what its failed connections seemed to say of servers can be forgotten. */
	readonly onCutOff: (evidence: ServerLinkEvidence) => void;
	/** Called when it reaches one again. */
	readonly onReachable: (evidence: ServerLinkEvidence) => void;
	/** Called with the number of servers that were unreachable since the last connection. */
	readonly onCount?: (unreachable: number) => void;
};

/** A backend server to which connections are opened. */
export type LinkedServer = {readonly id: ServerId; readonly service: ServiceId};

/** What speaks for a cut: the servers that were unreachable, and for how long, in milliseconds. */
export type ServerLinkEvidence = {
	readonly servers: readonly ServerId[];
	readonly duration: number;
};

/** The number of servers to which trial connections are opened at the same time. */
const trialCount = 3;
/** The interval between trials while no server is reachable, in milliseconds; up to half of it is added at random, so that instances do not return at the same moment. */
const trialMilliseconds = 250;

/**
The links of an entry instance to the backend servers of one service, as its own connections show them. It answers the load of an instance whose own links have failed. When several servers in a row are unreachable, trial connections to others decide whether the instance is cut off from all of them, and later when it is not any more.

@example
```ts
const links = new ServiceLinks({clock, random, servers, isReachable, wait, onCutOff, onReachable});
links.recordUnreachable(server);
links.isCutOff;
```
*/
export class ServiceLinks<Server extends LinkedServer = LinkedServer> {
	readonly #options: ServiceLinksOptions<Server>;
	readonly #detector = new ServerLinkDetector();
	/** The number of suspicions so far; the trials of an earlier one end. */
	#suspicions = 0;
	#isStopped = false;

	constructor(options: ServiceLinksOptions<Server>) {
		this.#options = options;
	}

	/** Whether this instance reaches no server of the service. */
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
			this.#options.onReachable(evidence);
		}

		this.#count();
	}

	/**
	Records whether a connection to a server could be opened.

	@param server The server.
	@param isOpen Whether it could.
	@returns Whether a failure speaks against the server; false if the links are in doubt.
	*/
	recordResult(server: ServerId, isOpen: boolean): boolean {
		if (isOpen) {
			this.recordConnected();
		} else {
			this.recordUnreachable(server);
		}

		return this.areConnected;
	}

	/** Ends the trials. */
	stop(): void {
		this.#isStopped = true;
	}

	async #tryUntilConnected(): Promise<void> {
		const {random, wait, onCutOff} = this.#options;
		this.#suspicions++;
		const suspicion = this.#suspicions;
		const isOver = (): boolean => this.areConnected || this.#isStopped || suspicion !== this.#suspicions;
		while (!isOver()) {
			const isReachable = await this.#trySome();
			if (isOver()) {
				return;
			}

			if (isReachable) {
				this.recordConnected();
				return;
			}

			if (this.#detector.recordTrialsFailed()) {
				onCutOff(this.#evidence());
			}

			await wait(trialMilliseconds * (1 + (random() / 2)));
		}
	}

	/** Tries servers that have not failed, if there are any. */
	async #trySome(): Promise<boolean> {
		const {servers, random, isReachable} = this.#options;
		const candidates = servers().map(server => ({server, order: random() + (this.#detector.unreachable.has(server.id) ? 1 : 0)}));
		const chosen = candidates.toSorted((one, other) => one.order - other.order).slice(0, trialCount);
		return isAnyTrue(chosen.map(async ({server}) => isReachable(server)));
	}

	#evidence(): ServerLinkEvidence {
		const {unreachable, since} = this.#detector;
		const now = this.#options.clock.monotonic();
		return {servers: [...unreachable], duration: Math.round(now - (since ?? now))};
	}

	#count(): void {
		this.#options.onCount?.(this.#detector.unreachable.size);
	}
}

/** Resolves as soon as one of the results is true, since the others may hang. */
async function isAnyTrue(results: ReadonlyArray<Promise<boolean>>): Promise<boolean> {
	return new Promise(resolve => {
		const check = async (result: Promise<boolean>): Promise<void> => {
			if (await result) {
				resolve(true);
			}
		};

		const checkAll = async (): Promise<void> => {
			await Promise.all(results.map(async result => check(result)));
			resolve(false);
		};

		void checkAll();
	});
}
