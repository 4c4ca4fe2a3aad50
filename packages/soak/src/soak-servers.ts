import {
	FakeBackendServer, type FakeBackendResponse, type ExecutedRequest,
} from '@valehitch/testing';
import {type LoopbackProxy} from './loopback-proxy.js';
import {type PlannedNotice, type ServerNotice} from './plan-notices.js';
import {responseShape} from './response-shape.js';
import {type SoakNetwork} from './soak-network.js';
import {evacuatedZone} from './soak-environment.js';
import {
	completeResponse, type ObservedRun, type SoakRecord, streamEvents,
} from './soak-record.js';

/** Options for the backend servers of a soak. */
export type SoakServersOptions = {
	readonly network: SoakNetwork;
	readonly record: SoakRecord;
	readonly now: () => number;
	/** The addresses of the control instances. */
	readonly controls: readonly string[];
	/** The address of the servers. */
	readonly host: string;
};

type SoakServer = {
	readonly id: string;
	readonly service: SoakService;
	readonly zone: string;
	readonly backend: FakeBackendServer;
	readonly proxy: LoopbackProxy;
	isDraining: boolean;
	notice: ServerNotice | undefined;
};

/** The services of a soak: one that serves models and one that serves plain calls. */
export type SoakService = 'models' | 'labels';

const services: readonly SoakService[] = ['models', 'labels'];
const serversPerService = 3;
/** The availability zones of the servers of a service; the entry instances are in the first. */
const serverZones = ['hall-a', 'hall-a', evacuatedZone] as const;
const heartbeatMilliseconds = 300;
/** The time for which a server that shuts down keeps serving after the acknowledgement, as the platform specifies. */
const shutdownGraceMilliseconds = 6000;
const eventIntervalMilliseconds = 40;
const millisecondsPerSecond = 1000;

/**
The backend servers of a soak. They announce themselves, shut down, crash and are replaced.

@example
```ts
const servers = new SoakServers(options);
await servers.start();
```
*/
export class SoakServers {
	readonly #options: SoakServersOptions;
	readonly #servers = new Set<SoakServer>();
	#serverCount = 0;
	#heartbeatTimer: NodeJS.Timeout | undefined;

	constructor(options: SoakServersOptions) {
		this.#options = options;
	}

	/** Starts all servers and their periodic announcements. */
	async start(): Promise<void> {
		for (const service of services) {
			for (let index = 0; index < serversPerService; index++) {
				await this.#addServer(service, serverZones[index]!);
			}
		}

		this.#heartbeatTimer = setInterval(() => {
			for (const server of this.#servers) {
				void this.#announce(server, 'ready');
			}
		}, heartbeatMilliseconds);
	}

	/**
	Replaces a server that announces its shutdown and keeps serving for a grace period.

	@param pick Selects the server: a number in the range [0, 1).
	*/
	async shutDown(pick: number): Promise<void> {
		const server = this.#select(pick);
		await this.#addServer(server.service, server.zone);
		server.isDraining = true;
		const control = await this.#announce(server, 'draining');
		if (control !== undefined) {
			this.#options.record.shutdowns.push({server: server.id, acknowledgedAt: this.#options.now(), control});
		}

		setTimeout(() => {
			this.#stop(server);
		}, shutdownGraceMilliseconds).unref();
	}

	/**
	Stops a server without an announcement, and starts another.

	@param pick Selects the server: a number in the range [0, 1).
	*/
	async crash(pick: number): Promise<void> {
		const server = this.#select(pick);
		this.#stop(server);
		await this.#addServer(server.service, server.zone);
	}

	/**
	Lets a server give a notice for a time.

	@param planned The notice, its duration, and what selects the server.
	*/
	giveNotice({notice, duration, pick}: PlannedNotice): void {
		const {record, now} = this.#options;
		const server = this.#select(pick);
		if (server.notice !== undefined) {
			return;
		}

		server.notice = notice;
		const from = now();
		setTimeout(() => {
			server.notice = undefined;
			if (notice.type === 'limit') {
				record.limits.push({
					server: server.id, requestsPerSecond: notice.requestsPerSecond, from, to: now(),
				});
			}
		}, duration).unref();
	}

	close(): void {
		clearInterval(this.#heartbeatTimer);
		for (const server of this.#servers) {
			server.backend.close();
		}
	}

	#select(pick: number): SoakServer {
		const candidates = [...this.#servers].filter(({isDraining}) => !isDraining);
		return candidates[Math.floor(pick * candidates.length)]!;
	}

	async #addServer(service: SoakService, zone: string): Promise<void> {
		const {network, host} = this.#options;
		const id = `i-${++this.#serverCount}`;
		let announcedPort = 0;
		const noticeOf = (): ServerNotice | undefined => [...this.#servers].find(server => server.id === id)?.notice;
		const backend = await FakeBackendServer.start({
			id,
			service,
			host,
			zone,
			answer: run => this.#answer(run, {server: id, zone, notice: noticeOf()}),
			notices: () => headersOf(noticeOf()),
			announcedPort: () => announcedPort,
		});
		const proxy = await network.addProxy({host, port: 0, target: {host, port: backend.port}});
		announcedPort = proxy.port;
		const server = {
			id, service, zone, backend, proxy, isDraining: false, notice: undefined,
		};
		this.#servers.add(server);
		await this.#announce(server, 'ready');
	}

	#answer(run: ExecutedRequest, {server, zone, notice}: Pick<ObservedRun, 'server'> & {readonly zone: string; readonly notice: ServerNotice | undefined}): FakeBackendResponse {
		const {record: {arrivals, pauses}, now} = this.#options;
		const arrival = {id: run.id, server, at: now()};
		arrivals.push(arrival);
		if (notice?.type === 'pause') {
			pauses.push({...arrival, until: arrival.at + (notice.seconds * millisecondsPerSecond)});
			return {isNotExecuted: true};
		}

		return this.#recordRun(run, {server, zone});
	}

	#recordRun(run: ExecutedRequest, place: Pick<ObservedRun, 'server' | 'zone'>): FakeBackendResponse {
		const {runs} = this.#options.record;
		const {id: request, model} = run;
		const isFirstRun = runs.every(({id}) => id !== request);
		runs.push({
			id: request, ...place, body: run.body, at: this.#options.now(),
		});
		const shape = responseShape(run, isFirstRun);
		return model === undefined
			? {...shape, events: [completeResponse(request, 'safe')]}
			: {
				...shape, events: streamEvents(request), gap: eventIntervalMilliseconds, confidence: model === 'small' && request.endsWith('3') ? 20 : 90,
			};
	}

	/** Sends an announcement to one control instance after another until one acknowledges it, and returns that instance. */
	async #announce(server: SoakServer, state: 'ready' | 'draining'): Promise<string | undefined> {
		if (server.isDraining !== (state === 'draining')) {
			return undefined;
		}

		for (const control of this.#options.controls) {
			if (await server.backend.announce(control, state) === 200) {
				return control;
			}
		}

		return undefined;
	}

	#stop(server: SoakServer): void {
		this.#servers.delete(server);
		server.proxy.stopListening();
		server.backend.close();
	}
}

function headersOf(notice: ServerNotice | undefined): Readonly<Record<string, string>> {
	switch (notice?.type) {
		case 'limit': {
			return {'Server-Limit': notice.requestsPerSecond.toFixed(1)};
		}

		case 'pause': {
			return {'Retry-After': String(notice.seconds)};
		}

		case undefined: {
			return {};
		}
	}
}
