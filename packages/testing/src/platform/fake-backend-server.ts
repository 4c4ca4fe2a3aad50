import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	type Agent, createServer, type IncomingMessage, request, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {text as readText} from 'node:stream/consumers';

/** The response of the fake server to one request. */
export type FakeBackendResponse = {
	readonly status?: number;
	/** The confidence that the model reports for its response, from 0 to 100. */
	readonly confidence?: number;
	/** The data of the streamed events, or the parts of a plain body. */
	readonly events?: readonly string[];
	/** Delay between the response headers and the first event, in milliseconds. */
	readonly firstEventDelay?: number;
	/** Delay between two events, in milliseconds. */
	readonly gap?: number;
	/** A pause in which the server sends nothing, and after which it goes on; none by default. */
	readonly pause?: ResponsePause;
	/** The number of events after which the connection is reset, in the middle of the next event. */
	readonly breakAfter?: number;
	/** Whether the response has neither a length nor chunks, so that it ends with its connection; false by default. */
	readonly isUnframed?: boolean;
	/** How the response ends early; by default it is complete. */
	readonly truncation?: ResponseTruncation;
	/** Whether the server responds that it did not execute the request. */
	readonly isNotExecuted?: boolean;
};

/** A pause within a response. */
export type ResponsePause = {
	/** The number of events that are sent before it. */
	readonly after: number;
	/** Whether a part of the next event precedes it; false by default. */
	readonly isInsideEvent?: boolean;
	/** Its length in milliseconds. */
	readonly duration: number;
};

/** How a response ends early: the server ends it as if it were complete, or its process exits, so that the connection closes and new ones are refused. */
export type ResponseTruncation = {
	readonly by: 'end' | 'exit';
	/** The number of events that are sent. */
	readonly after: number;
	/** Whether a part of the next event follows; false by default. */
	readonly isInsideEvent?: boolean;
	/** The number of bytes of the head after which the response ends instead, without any event; by default the whole head is sent. */
	readonly headBytes?: number;
};

/** A request that the fake server executed. */
export type ExecutedRequest = {
	readonly id: string;
	readonly model: string | undefined;
	readonly workspace: string | undefined;
	readonly lastEventId: string | undefined;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	/** The ids of the parts of its prompt, in order. */
	readonly promptParts: readonly string[];
	readonly server: string;
	/** Aborted when the connection closes before the response is complete. */
	readonly ended: AbortSignal;
};

/** Options of `FakeBackendServer`. */
export type FakeBackendServerOptions = {
	readonly id: string;
	readonly service: string;
	readonly host: string;
	readonly version?: string;
	/** The number of requests that it announces to process concurrently; 8 by default. */
	readonly slots?: number;
	/** The availability zone; `hall-a` by default. */
	readonly zone?: string;
	/** Returns the response, or a promise of it, before which nothing is sent. */
	readonly answer: (run: ExecutedRequest) => FakeBackendResponse | Promise<FakeBackendResponse>;
	/** Returns the headers by which the server says what it can take, added to each response; none by default. */
	readonly notices?: () => Readonly<Record<string, string>>;
	/** The port to listen on; a free port by default. */
	readonly port?: number;
	/** The process start time to announce, as Unix time in milliseconds; not announced by default. */
	readonly startedAt?: number;
	/** Returns the port to announce instead of the port that the server listens on, such as that of a proxy in front of the server. */
	readonly announcedPort?: () => number;
};

/** The path of the health check of all servers. */
export const healthPath = '/healthz';
/** The platform's servers time out after one second without an acknowledgement. */
const announceTimeoutMilliseconds = 1000;
/** How much of an event precedes a pause inside it, in bytes. */
const splitPosition = 4;

/**
A backend server for tests that implements the platform's protocol.

@example
```ts
const server = await FakeBackendServer.start({id: 'i-1', service: 'labels', host: '127.0.0.1', answer: () => ({events: ['printed']})});
```
*/
export class FakeBackendServer {
	/**
	Starts a server and waits until it listens.

	@param options The server's identity, address and responses.
	@returns The running server.
	*/
	static async start(options: FakeBackendServerOptions): Promise<FakeBackendServer> {
		const fake = new FakeBackendServer(options);
		fake.#server.listen(options.port ?? 0, options.host);
		await once(fake.#server, 'listening');
		fake.#port = (fake.#server.address() as AddressInfo).port;
		return fake;
	}

	readonly runs: ExecutedRequest[] = [];
	/** When requests arrived, including those that were not executed, in milliseconds on the monotonic clock. */
	readonly arrivals: number[] = [];
	/** The ids of the requests whose connection closed before the response was complete. */
	readonly abortedRequests: string[] = [];
	readonly #options: FakeBackendServerOptions;
	readonly #server: Server;
	#port = 0;
	#sequence = 0;

	private constructor(options: FakeBackendServerOptions) {
		this.#options = options;
		this.#server = createServer((message, response) => {
			void this.#handle(message, response);
		});
	}

	/** The service to which the server belongs. */
	get service(): string {
		return this.#options.service;
	}

	/** The port on which the server listens. */
	get port(): number {
		return this.#port;
	}

	/**
	Announces the server to a control instance.

	@param control The address of the control instance.
	@param state Whether the server accepts requests.
	@returns The status of the acknowledgement; 0 if there is none, as for a server that has exited.
	*/
	async announce(control: string, state: 'ready' | 'draining' = 'ready'): Promise<number> {
		if (!this.#server.listening) {
			return 0;
		}

		const {id, service, host, zone = 'hall-a', version = 'v1', slots = 8, startedAt, announcedPort = () => this.port} = this.#options;
		this.#sequence++;
		return sendForStatus({
			method: 'PUT', address: control, path: `/-/instances/${id}`, body: {
				service, address: `${host}:${announcedPort()}`, zone, version, slots, state, coldRemainingMs: 0, seq: this.#sequence, born: startedAt,
			}, timeout: announceTimeoutMilliseconds,
		});
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readText(message);
		const {headers, method = '', url = ''} = message;
		if (headers['expect-instance'] !== this.#options.id) {
			response.writeHead(421, {'Instance-Id': this.#options.id});
			response.end();
			return;
		}

		if (url === healthPath) {
			response.writeHead(200, {'Instance-Id': this.#options.id}).end();
			return;
		}

		const ended = new AbortController();
		response.on('close', () => {
			if (!response.writableFinished) {
				ended.abort();
			}
		});
		const run: ExecutedRequest = {
			id: String(headers['attempt-id']),
			model: firstValueOf(headers.model),
			workspace: firstValueOf(headers.tenant),
			lastEventId: firstValueOf(headers['last-event-id']),
			method,
			path: url,
			body,
			promptParts: (firstValueOf(headers['prompt-prefix']) ?? '').split(',').map(part => part.split(':')[0]!.trim()),
			server: this.#options.id,
			ended: ended.signal,
		};
		await this.#respond(run, response);
	}

	async #respond(run: ExecutedRequest, response: ServerResponse): Promise<void> {
		this.arrivals.push(performance.now());
		const notices = this.#options.notices?.() ?? {};
		const answer = this.#options.answer(run);
		const {
			status = 200, confidence, events = ['done'], firstEventDelay, gap = 0, pause, breakAfter, isUnframed = false, truncation, isNotExecuted = false,
		} = answer instanceof Promise ? await answer : answer;
		if (isNotExecuted) {
			response.writeHead(503, {'Not-Executed': '1', ...notices});
			response.end();
			return;
		}

		this.runs.push(run);
		run.ended.addEventListener('abort', () => {
			this.abortedRequests.push(run.id);
		});
		const isStream = run.model !== undefined;
		if (isUnframed) {
			removeFraming(response);
		}

		const headers = this.#headers(run, {confidence, notices});
		if (truncation?.headBytes !== undefined) {
			await this.#truncateHead(response, {by: truncation.by, head: `${writeHead(status, headers)}Content-Length: 7\r\n\r\n`.slice(0, truncation.headBytes)});
			return;
		}

		response.writeHead(status, headers);
		if (firstEventDelay !== undefined) {
			response.flushHeaders();
			await delay(firstEventDelay);
		}

		const resumeIndex = Number(run.lastEventId ?? 0);
		for (const [index, event] of events.entries()) {
			if (index < resumeIndex) {
				continue;
			}

			if (index === breakAfter) {
				response.write(`id: ${index + 1}\nda`);
				await delay(20);
				response.socket?.resetAndDestroy();
				return;
			}

			if (index === truncation?.after) {
				await this.#truncate(response, truncation);
				return;
			}

			const bytes = isStream ? `id: ${index + 1}\ndata: ${event}\n\n` : event;
			await writeWithPause(response, {bytes, pause: index === pause?.after ? pause : undefined});
			await delay(gap);
		}

		response.end();
	}

	#headers({id, model}: ExecutedRequest, {confidence, notices}: {readonly confidence: number | undefined; readonly notices: Readonly<Record<string, string>>}): Record<string, string> {
		return {
			'Attempt-Id': id,
			'Response-Signature': `signed-${this.#options.id}`,
			'Content-Type': model === undefined ? 'text/plain' : 'text/event-stream',
			...(confidence !== undefined && {Confidence: String(confidence)}),
			...notices,
		};
	}

	async #truncateHead({socket}: ServerResponse, {by, head}: {readonly by: ResponseTruncation['by']; readonly head: string}): Promise<void> {
		socket?.write(head);
		await delay(20);
		if (by === 'exit') {
			this.#server.close();
		}

		socket?.end();
	}

	async #truncate(response: ServerResponse, {by, isInsideEvent = false}: ResponseTruncation): Promise<void> {
		if (isInsideEvent) {
			response.write('id');
		}

		// What was written leaves the process before its end.
		await delay(20);
		if (by === 'end') {
			response.end();
			return;
		}

		this.#server.close();
		response.socket?.end();
	}
}

function writeHead(status: number, headers: Readonly<Record<string, string>>): string {
	return [`HTTP/1.1 ${status} Status`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), ''].join('\r\n');
}

/** Makes a response end with its connection. */
function removeFraming(response: ServerResponse): void {
	response.removeHeader('Transfer-Encoding');
	response.shouldKeepAlive = false;
}

/** Writes an event, with a pause before or inside it if one is given. */
async function writeWithPause(response: ServerResponse, {bytes, pause}: {readonly bytes: string; readonly pause: ResponsePause | undefined}): Promise<void> {
	const bytesBefore = pause?.isInsideEvent === true ? splitPosition : 0;
	response.write(bytes.slice(0, bytesBefore));
	if (pause !== undefined) {
		await delay(pause.duration);
	}

	response.write(bytes.slice(bytesBefore));
}

/** An HTTP request to an instance. */
export type InstanceRequest = {
	readonly method: string;
	/** The host and port, as `HOST:PORT`. */
	readonly address: string;
	readonly path: string;
	readonly body?: unknown;
	/** The agent that pools connections; by default each request opens a new connection. */
	readonly agent?: Agent;
	/** The timeout in milliseconds; none by default. */
	readonly timeout?: number;
	/** The time for which the body of the response is left unread, in milliseconds; 0 by default. */
	readonly readDelay?: number;
};

/**
Sends a request and returns the status of its response.

@param options The request.
@returns The status; 0 if the connection failed before a response.
*/
export async function sendForStatus(options: InstanceRequest): Promise<number> {
	const {status} = await sendForResponse({...options, headers: {}});
	return status;
}

/** A response as the caller received it. */
export type ReceivedResponse = {
	readonly status: number;
	readonly text: string;
	readonly retryAfter: string | undefined;
	/** Whether the body was received completely. */
	readonly isComplete: boolean;
	/** The time to the first byte of the body, in milliseconds; undefined if there is none. */
	readonly firstByteAfter: number | undefined;
};

/**
Sends a request and reads its response to the end.

@param options The request.
@returns The response; its status is 0 if the connection failed before a response.
*/
export async function sendForResponse(options: InstanceRequest & {readonly headers: Readonly<Record<string, string>>}): Promise<ReceivedResponse> {
	const {method, address, path, body, headers, agent, timeout, readDelay = 0} = options;
	const [host, port] = address.split(':');
	const startedAt = performance.now();
	return new Promise(resolve => {
		const payload = body === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(body));
		const outgoing = request({
			host, port, method, path, agent: agent ?? false, headers: {'Content-Length': payload.byteLength, ...headers},
		}, message => {
			let text = '';
			let firstByteAfter: number | undefined;
			message.setEncoding('utf8');
			message.on('data', (chunk: string) => {
				text += chunk;
				firstByteAfter ??= performance.now() - startedAt;
			});
			if (readDelay > 0) {
				message.pause();
				setTimeout(() => {
					message.resume();
				}, readDelay);
			}

			message.on('error', () => {
				// The close event follows, and `message.complete` then shows that the body is incomplete.
			});
			message.on('close', () => {
				clearTimeout(timer);
				resolve({
					status: message.statusCode ?? 0, text, retryAfter: message.headers['retry-after'], isComplete: message.complete, firstByteAfter,
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
				status: 0, text: '', retryAfter: undefined, isComplete: false, firstByteAfter: undefined,
			});
		});
		outgoing.end(payload);
	});
}

function firstValueOf(value: string | readonly string[] | undefined): string | undefined {
	return typeof value === 'string' ? value : value?.[0];
}

async function delay(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
