import {
	BackendStandIn, type StandInAnswer, type StandInRun,
} from '@valehitch/testing';
import {type SoakNetwork} from './soak-network.js';
import {eventsOf, type SoakRecord, wholeAnswer} from './soak-record.js';

/** What the backend servers of a soak need. */
export type SoakServersOptions = {
	readonly network: SoakNetwork;
	readonly record: SoakRecord;
	readonly now: () => number;
	/** The addresses of the control instances. */
	readonly controls: readonly string[];
	/** The address at which the servers stand. */
	readonly host: string;
};

type SoakServer = {
	readonly id: string;
	readonly service: SoakService;
	readonly standIn: BackendStandIn;
	isLeaving: boolean;
};

/** The services of a soak: one of models and one of plain calls. */
export type SoakService = 'models' | 'labels';

const servicesOfSoak: readonly SoakService[] = ['models', 'labels'];
const serversOfService = 3;
const heartbeatMilliseconds = 300;
/** A server that shuts down goes on serving for this long after the acknowledgement, as the platform says. */
const lingerMilliseconds = 6000;
const eventGapMilliseconds = 40;

/**
The backend servers of a soak: they announce themselves, shut down, crash and are replaced.

@example
```ts
const servers = new SoakServers(options);
await servers.start();
```
*/
export class SoakServers {
	readonly #options: SoakServersOptions;
	readonly #servers = new Set<SoakServer>();
	#count = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: SoakServersOptions) {
		this.#options = options;
	}

	/** Starts all servers and their announcements. */
	async start(): Promise<void> {
		for (const service of servicesOfSoak) {
			for (let index = 0; index < serversOfService; index++) {
				await this.#add(service);
			}
		}

		this.#timer = setInterval(() => {
			for (const server of this.#servers) {
				void this.#announce(server, 'ready');
			}
		}, heartbeatMilliseconds);
	}

	/**
	Replaces a server: it says that it shuts down, and serves on for a while.

	@param pick Picks the server, from 0 up to 1.
	*/
	async shutDown(pick: number): Promise<void> {
		const server = this.#pick(pick);
		await this.#add(server.service);
		server.isLeaving = true;
		const control = await this.#announce(server, 'draining');
		if (control !== undefined) {
			this.#options.record.shutdowns.push({server: server.id, acknowledgedAt: this.#options.now(), control});
		}

		setTimeout(() => {
			this.#end(server);
		}, lingerMilliseconds).unref();
	}

	/**
	Ends a server without a word, and starts another.

	@param pick Picks the server, from 0 up to 1.
	*/
	async crash(pick: number): Promise<void> {
		const server = this.#pick(pick);
		this.#end(server);
		await this.#add(server.service);
	}

	close(): void {
		clearInterval(this.#timer);
		for (const server of this.#servers) {
			server.standIn.close();
		}
	}

	#pick(pick: number): SoakServer {
		const staying = [...this.#servers].filter(({isLeaving}) => !isLeaving);
		return staying[Math.floor(pick * staying.length)]!;
	}

	async #add(service: SoakService): Promise<void> {
		const {network, host} = this.#options;
		const id = `i-${++this.#count}`;
		let announcedPort = 0;
		const standIn = await BackendStandIn.start({
			id, service, host, answer: run => this.#run(id, run), announcedPort: () => announcedPort,
		});
		const proxy = await network.protect({host, port: 0, target: {host, port: standIn.port}});
		announcedPort = proxy.port;
		const server = {
			id, service, standIn, isLeaving: false,
		};
		this.#servers.add(server);
		await this.#announce(server, 'ready');
	}

	#run(id: string, {id: request, model}: StandInRun): StandInAnswer {
		this.#options.record.runs.push({id: request, server: id, at: this.#options.now()});
		return model === undefined
			? {events: [wholeAnswer(request, 'safe')]}
			: {events: eventsOf(request), gap: eventGapMilliseconds, confidence: model === 'small' && request.endsWith('3') ? 20 : 90};
	}

	/** Tells one control instance after the other until one acknowledges; gives that one. */
	async #announce(server: SoakServer, state: 'ready' | 'draining'): Promise<string | undefined> {
		if (server.isLeaving !== (state === 'draining')) {
			return undefined;
		}

		for (const control of this.#options.controls) {
			if (await server.standIn.announce(control, state) === 200) {
				return control;
			}
		}

		return undefined;
	}

	#end(server: SoakServer): void {
		this.#servers.delete(server);
		server.standIn.close();
	}
}
