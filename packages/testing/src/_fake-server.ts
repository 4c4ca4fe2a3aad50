import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {type Behaviour, behaviourSchema, defaultBehaviour} from './behaviour.js';

/** Options for `startFakeServer`. */
export type FakeServerOptions = {
	readonly port: number;
	readonly behaviour: Behaviour;
	/** The records that `GET /test/runs` returns. */
	readonly runs: readonly unknown[];
	/** Handles all requests except those under `/test/`; the signal is aborted when the client disconnects. */
	readonly answer: (exchange: Exchange) => Promise<void>;
};

/** A request to a fake server and its response. */
export type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly signal: AbortSignal;
};

/** A listening fake server. */
export type FakeServer = {
	readonly port: number;
	readonly address: string;
	readonly close: () => Promise<void>;
	readonly kill: () => Promise<void>;
};

const host = '127.0.0.1';

export async function startFakeServer(options: FakeServerOptions): Promise<FakeServer> {
	const usedSockets = new WeakSet<Socket>();
	const server = createServer((request, response) => {
		const {socket} = request;
		if (usedSockets.has(socket) && options.behaviour.closesKeptConnections && !isControlCall(request)) {
			socket.destroy();
			return;
		}

		usedSockets.add(socket);
		void serve(options, {request, response, signal: disconnectSignal(response)});
	});
	server.listen(options.port, host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const close = async () => {
		if (!server.listening) {
			return;
		}

		const closed = once(server, 'close');
		server.close();
		server.closeIdleConnections();
		await closed;
	};

	const kill = async () => {
		const closed = close();
		server.closeAllConnections();
		await closed;
	};

	return {
		port, address: `http://${host}:${port}`, close, kill,
	};
}

export function sendJson(response: ServerResponse, answer: {readonly status: number; readonly body: unknown; readonly headers?: Readonly<Record<string, string>>}): void {
	response.writeHead(answer.status, {'content-type': 'application/json', ...answer.headers});
	response.end(JSON.stringify(answer.body));
}

export function sendNotRun(response: ServerResponse, message: string): void {
	sendJson(response, {status: 503, body: {error: {message}}, headers: {'Valehitch-Outcome': 'notRun'}});
}

export function headerOf(request: IncomingMessage, name: string): string {
	const value = request.headers[name];
	return (Array.isArray(value) ? value[0] : value) ?? '';
}

function disconnectSignal(response: ServerResponse): AbortSignal {
	const controller = new AbortController();
	response.once('close', () => {
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
}

async function serve(options: FakeServerOptions, exchange: Exchange): Promise<void> {
	const {request, response} = exchange;
	try {
		await route(options, exchange);
	} catch (error) {
		if (exchange.signal.aborted || response.headersSent) {
			response.destroy();
			return;
		}

		sendJson(response, {status: 400, body: {error: {message: `${request.method} ${request.url}: ${String(error)}`}}});
	}
}

/** Determines whether a request controls the fake server itself. */
function isControlCall({url}: IncomingMessage): boolean {
	return url?.startsWith('/test/') === true;
}

async function route(options: FakeServerOptions, exchange: Exchange): Promise<void> {
	const {request, response} = exchange;
	const call = `${request.method} ${request.url}`;
	if (call === 'GET /test/runs') {
		sendJson(response, {status: 200, body: options.runs});
		return;
	}

	if (call === 'POST /test/behaviour') {
		const given = behaviourSchema.parse(JSON.parse(await text(request)));
		Object.assign(options.behaviour, defaultBehaviour, given);
		sendJson(response, {status: 200, body: options.behaviour});
		return;
	}

	await options.answer(exchange);
}
