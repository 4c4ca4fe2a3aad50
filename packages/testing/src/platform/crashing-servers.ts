import {type ExecutedRequest, FakeBackendServer, type FakeBackendResponse} from './fake-backend-server.js';

/** Options of `CrashingServers`. */
export type CrashingServersOptions = {
	/** Whether a request crashes the server that runs it. */
	readonly isFatal: (run: ExecutedRequest) => boolean;
	/** Milliseconds from the start of a fatal request to the exit of its server. */
	readonly exitDelay: number;
	/** Milliseconds from the exit of a server to its restart as a new process. */
	readonly restartDelay: number;
	/** The response to requests that are not fatal. */
	readonly answer: FakeBackendResponse;
};

/**
Servers of one service that exit when they start a fatal request, and restart later as new processes.

@example
```ts
const servers = new CrashingServers({isFatal: ({path}) => path === '/drafts/1', exitDelay: 30, restartDelay: 400, answer: {events: ['one']}});
await servers.start(8);
```
*/
export class CrashingServers {
	/** When fatal requests reached servers, in milliseconds on the monotonic clock. */
	readonly sends: number[] = [];
	/** When servers exited, in milliseconds on the monotonic clock. */
	readonly exits: number[] = [];
	readonly #options: CrashingServersOptions;
	readonly #running = new Set<FakeBackendServer>();
	#started = 0;
	#isStopped = false;

	constructor(options: CrashingServersOptions) {
		this.#options = options;
	}

	/**
	Starts servers.

	@param count The number of servers.
	*/
	async start(count: number): Promise<void> {
		await Promise.all(Array.from({length: count}, async () => this.#startOne()));
	}

	/**
	Announces the running servers.

	@param control The address of a control instance.
	*/
	async announce(control: string): Promise<void> {
		await Promise.all([...this.#running].map(async server => server.announce(control)));
	}

	/** Makes the server that has run the longest exit. */
	exitOldest(): void {
		const [server] = this.#running;
		if (server !== undefined) {
			void this.#exit(server);
		}
	}

	/** Stops all servers. */
	stop(): void {
		this.#isStopped = true;
		for (const server of this.#running) {
			server.close();
		}

		this.#running.clear();
	}

	async #startOne(port?: number): Promise<void> {
		this.#started++;
		const {isFatal, exitDelay, answer} = this.#options;
		const server: FakeBackendServer = await FakeBackendServer.start({
			id: `i-${this.#started}`,
			service: 'models',
			host: '127.0.0.1',
			startedAt: Date.now(),
			...(port !== undefined && {port}),
			answer: run => {
				if (!isFatal(run)) {
					return answer;
				}

				this.sends.push(performance.now());
				setTimeout(() => {
					void this.#exit(server);
				}, exitDelay);
				return {confidence: answer.confidence ?? 0, firstEventDelay: 10 * exitDelay};
			},
		});
		this.#running.add(server);
	}

	async #exit(server: FakeBackendServer): Promise<void> {
		if (!this.#running.delete(server)) {
			return;
		}

		const {port} = server;
		server.close();
		this.exits.push(performance.now());
		await new Promise(resolve => {
			setTimeout(resolve, this.#options.restartDelay);
		});
		if (!this.#isStopped) {
			await this.#startOne(port);
		}
	}
}
