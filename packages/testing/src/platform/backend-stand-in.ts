import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	type Agent, createServer, type IncomingMessage, request, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';

/** How a stand-in answers one request. */
export type StandInAnswer = {
	readonly status?: number;
	/** The model's opinion of its answer, from 0 to 100. */
	readonly confidence?: number;
	/** The events of a stream, or one body. */
	readonly events?: readonly string[];
	/** Milliseconds between the head of the answer and the first event. */
	readonly firstAfter?: number;
	/** Milliseconds between two events. */
	readonly gap?: number;
	/** The connection is reset after as many events, in the middle of the next. */
	readonly breakAfter?: number;
	/** The server says that it did not run the request. */
	readonly isNotRun?: boolean;
};

/** What a stand-in saw. */
export type StandInRun = {
	readonly id: string;
	readonly model: string | undefined;
	readonly workspace: string | undefined;
	readonly lastEventId: string | undefined;
	readonly path: string;
	readonly server: string;
};

/** What a backend server stand-in is. */
export type BackendStandInOptions = {
	readonly id: string;
	readonly service: string;
	readonly host: string;
	readonly version?: string;
	readonly answer: (run: StandInRun) => StandInAnswer;
	/** The port that it listens on; a free one by default. */
	readonly port?: number;
	/** When its process started, in milliseconds since the epoch; it does not say by default. */
	readonly startedAt?: number;
	/** The port that it announces in place of its own, as where a proxy stands before it. */
	readonly announcedPort?: () => number;
};

/** The platform's servers wait a second for an acknowledgement. */
const announceMilliseconds = 1000;

/**
A backend server of the platform, as its protocol describes it, for tests.

@example
```ts
const server = await BackendStandIn.start({id: 'i-1', service: 'labels', host: '127.0.0.1', answer: () => ({events: ['printed']})});
```
*/
export class BackendStandIn {
	/**
	Starts to listen.

	@param options What it is.
	@returns The running server.
	*/
	static async start(options: BackendStandInOptions): Promise<BackendStandIn> {
		const standIn = new BackendStandIn(options);
		standIn.#server.listen(options.port ?? 0, options.host);
		await once(standIn.#server, 'listening');
		return standIn;
	}

	readonly runs: StandInRun[] = [];
	/** The requests whose connection ended before their answer did. */
	readonly abandoned: string[] = [];
	readonly #options: BackendStandInOptions;
	readonly #server: Server;
	#sequence = 0;

	private constructor(options: BackendStandInOptions) {
		this.#options = options;
		this.#server = createServer((message, response) => {
			void this.#handle(message, response);
		});
	}

	/** The port that it listens on. */
	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	/**
	Announces the server to a control instance.

	@param control The address of the control instance.
	@param state Whether it takes work.
	@returns The status of the acknowledgement.
	*/
	async announce(control: string, state: 'ready' | 'draining' = 'ready'): Promise<number> {
		const {id, service, host, version = 'v1', startedAt, announcedPort = () => this.port} = this.#options;
		this.#sequence++;
		return call({
			method: 'PUT', address: control, path: `/-/instances/${id}`, body: {
				service, address: `${host}:${announcedPort()}`, zone: 'hall-a', version, slots: 8, state, coldRemainingMs: 0, seq: this.#sequence, born: startedAt,
			}, timeout: announceMilliseconds,
		});
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		message.resume();
		await once(message, 'end');

		const {headers, url = ''} = message;
		if (headers['expect-instance'] !== this.#options.id) {
			response.writeHead(421, {'Instance-Id': this.#options.id});
			response.end();
			return;
		}

		const run: StandInRun = {
			id: String(headers['attempt-id']), model: textOf(headers.model), workspace: textOf(headers.tenant), lastEventId: textOf(headers['last-event-id']), path: url, server: this.#options.id,
		};
		await this.#answer(run, response);
	}

	async #answer(run: StandInRun, response: ServerResponse): Promise<void> {
		const {status = 200, confidence, events = ['done'], firstAfter, gap = 0, breakAfter, isNotRun = false} = this.#options.answer(run);
		if (isNotRun) {
			response.writeHead(503, {'Not-Executed': '1'});
			response.end();
			return;
		}

		this.runs.push(run);
		response.on('close', () => {
			if (!response.writableFinished) {
				this.abandoned.push(run.id);
			}
		});
		const isStream = run.model !== undefined;
		response.writeHead(status, {
			'Attempt-Id': run.id,
			'Response-Signature': `signed-${this.#options.id}`,
			'Content-Type': isStream ? 'text/event-stream' : 'text/plain', ...(confidence !== undefined && {Confidence: String(confidence)}),
		});
		if (firstAfter !== undefined) {
			response.flushHeaders();
			await elapsed(firstAfter);
		}

		const first = Number(run.lastEventId ?? 0);
		for (const [index, event] of events.entries()) {
			if (index < first) {
				continue;
			}

			if (index === breakAfter) {
				response.write(`id: ${index + 1}\nda`);
				await elapsed(20);
				response.socket?.resetAndDestroy();
				return;
			}

			response.write(isStream ? `id: ${index + 1}\ndata: ${event}\n\n` : event);
			await elapsed(gap);
		}

		response.end();
	}
}

/** A call to a control instance. */
export type StandInCall = {
	readonly method: string;
	/** Host and port. */
	readonly address: string;
	readonly path: string;
	readonly body?: unknown;
	/** Keeps connections; by default each call has its own. */
	readonly agent?: Agent;
	/** Milliseconds after which the call is given up; never by default. */
	readonly timeout?: number;
};

/**
Makes a call and gives the status; 0 where no answer came.

@param options The call.
@returns The status.
*/
export async function call(options: StandInCall): Promise<number> {
	const {status} = await ask({...options, headers: {}});
	return status;
}

/** An answer that a caller got. */
export type CallerAnswer = {
	readonly status: number;
	readonly text: string;
	readonly retryAfter: string | undefined;
	/** Whether the body came whole. */
	readonly isWhole: boolean;
};

/**
Sends a request and reads the whole answer.

@param options The request.
@returns The answer; status 0 where the connection ended before one.
*/
export async function ask({method, address, path, body, headers, agent, timeout}: StandInCall & {readonly headers: Readonly<Record<string, string>>}): Promise<CallerAnswer> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const payload = body === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(body));
		const outgoing = request({
			host, port, method, path, agent: agent ?? false, headers: {'Content-Length': payload.byteLength, ...headers},
		}, message => {
			let text = '';
			message.setEncoding('utf8');
			message.on('data', (chunk: string) => {
				text += chunk;
			});
			message.on('error', () => {
				// The close that follows tells that the body is not whole.
			});
			message.on('close', () => {
				clearTimeout(timer);
				resolve({
					status: message.statusCode ?? 0, text, retryAfter: message.headers['retry-after'], isWhole: message.complete,
				});
			});
		});
		const timer = timeout === undefined
			? undefined
			: setTimeout(() => {
				outgoing.destroy();
			}, timeout);
		outgoing.on('error', () => {
			clearTimeout(timer);
			resolve({
				status: 0, text: '', retryAfter: undefined, isWhole: false,
			});
		});
		outgoing.end(payload);
	});
}

function textOf(value: string | readonly string[] | undefined): string | undefined {
	return typeof value === 'string' ? value : value?.[0];
}

async function elapsed(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
