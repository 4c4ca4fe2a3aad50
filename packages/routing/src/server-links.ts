import {type ServiceId} from '@valehitch/core';
import {
	type LinkedServer, type ServerLinkEvidence, ServiceLinks, type ServiceLinksOptions,
} from './service-links.js';

/** Options of {@linkcode ServerLinks}. */
export type ServerLinksOptions<Server extends LinkedServer = LinkedServer> = Omit<ServiceLinksOptions<Server>, 'servers' | 'onCutOff' | 'onReachable' | 'onCount'> & {
	/** Returns the servers of all services that may be tried. */
	readonly servers: () => readonly Server[];
	/** Called when the instance finds that it reaches no server of a service. */
	readonly onCutOff: (evidence: ServerLinksEvidence) => void;
	/** Called when it reaches one again. */
	readonly onReachable: (evidence: ServerLinksEvidence) => void;
	/** Called with the number of servers that were unreachable since the last connection to a server of the same service. */
	readonly onCount?: (unreachable: number) => void;
};

/** What speaks for a cut from the servers of a service. */
export type ServerLinksEvidence = ServerLinkEvidence & {readonly service: ServiceId};

/**
The links of an instance to backend servers, for each service by itself: servers of one service may be out of reach while those of another are not, and connections to the latter say nothing of the former.

@example
```ts
const links = new ServerLinks({clock, random, servers, isReachable, wait, onCutOff, onReachable});
links.of(service).recordUnreachable(server);
links.isCutOff;
```
*/
export class ServerLinks<Server extends LinkedServer = LinkedServer> {
	readonly #options: ServerLinksOptions<Server>;
	readonly #services = new Map<ServiceId, ServiceLinks<Server>>();
	readonly #unreachable = new Map<ServiceId, number>();

	constructor(options: ServerLinksOptions<Server>) {
		this.#options = options;
	}

	/** Whether this instance reaches no server of some service. */
	get isCutOff(): boolean {
		return [...this.#services.values()].some(({isCutOff}) => isCutOff);
	}

	/**
	Returns the links to the servers of a service.

	@param service The service.
	@returns The links.
	*/
	of(service: ServiceId): ServiceLinks<Server> {
		const known = this.#services.get(service);
		if (known !== undefined) {
			return known;
		}

		const {servers, onCutOff, onReachable} = this.#options;
		const links = new ServiceLinks<Server>({
			...this.#options,
			servers: () => servers().filter(server => server.service === service),
			onCutOff(evidence) {
				onCutOff({...evidence, service});
			},
			onReachable(evidence) {
				onReachable({...evidence, service});
			},
			onCount: unreachable => {
				this.#count(service, unreachable);
			},
		});
		this.#services.set(service, links);
		return links;
	}

	/** Ends the trials. */
	stop(): void {
		for (const links of this.#services.values()) {
			links.stop();
		}
	}

	#count(service: ServiceId, unreachable: number): void {
		this.#unreachable.set(service, unreachable);
		this.#options.onCount?.([...this.#unreachable.values()].reduce((sum, count) => sum + count, 0));
	}
}
