import {once} from 'node:events';
import {
	Agent, createServer, type IncomingMessage, request as sendRequest, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {pipeline} from 'node:stream/promises';
import {text} from 'node:stream/consumers';
import {randomUUID} from 'node:crypto';
import {type Configuration, type WorkspaceId} from '@valehitch/core';
import {compilePolicies, type Policies} from '@valehitch/policy';
import {digestOf} from './_settings-file.js';
import {wireNames} from './_wire-names.js';
import {naiveChoice} from './naive-choice.js';

/** A backend server in the naive router's list. */
export type NaiveServer = {
	readonly address: string;
	/** For an engine: its loaded versions, such as `tag-small@1.0`. */
	readonly models?: readonly string[] | undefined;
	/** For a plain service: its name. */
	readonly service?: string | undefined;
};

/** Options for `startNaiveRouter`. */
export type NaiveRouterOptions = {
	/** The operators' configuration document, with no members omitted. */
	readonly document: Configuration;
	/** The fixed list of servers. */
	readonly servers: readonly NaiveServer[];
	/** The port on 127.0.0.1; chosen by the operating system by default. */
	readonly port?: number;
};

/** A running naive router. */
export type NaiveRouter = {
	readonly address: string;
	readonly close: () => Promise<void>;
};

type State = {
	readonly document: Configuration;
	readonly policies: Policies;
	readonly servers: readonly NaiveServer[];
	readonly workspaces: ReadonlyMap<string, WorkspaceId>;
	nextServerIndex: number;
};

/** A call that any server of a list can serve. */
type ForwardedCall = {
	readonly servers: readonly NaiveServer[];
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
};

type ChatBody = {
	readonly model: string;
	readonly messages: ReadonlyArray<{readonly content: string}>;
	readonly stream?: boolean;
	readonly [wireNames.maxTokens]?: number;
};

const host = '127.0.0.1';
const maximumAttempts = 3;
const charactersPerToken = 4;
const servicePathPattern = /^\/services\/(?<service>[^\/]+)(?<path>\/.*)$/v;

/**
Starts the naive router that is the baseline for measurements of valehitch.

It uses the first allowed version whose listed quality meets the target, selects servers round-robin, and retries on any error. It has no limits and keeps no state.

@param options The configuration, the servers and the port.
@returns The running router.
@throws If a policy condition does not compile or the port cannot be opened.
@example
```ts
const router = await startNaiveRouter({document, servers});
await router.close();
```
*/
export async function startNaiveRouter(options: NaiveRouterOptions): Promise<NaiveRouter> {
	const {document, servers} = options;
	const state: State = {
		document,
		servers,
		policies: compilePolicies(document).unsafeCoerce(),
		workspaces: new Map(Object.entries(document.workspaces).flatMap(([workspace, {keyDigests}]) => keyDigests.map(digest => [digest, workspace as WorkspaceId]))),
		nextServerIndex: 0,
	};
	const agent = new Agent({keepAlive: true});
	const server = createServer((request, response) => {
		void serve(state, {request, response, agent});
	});
	server.listen(options.port ?? 0, host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return {
		address: `http://${host}:${port}`,
		async close() {
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
			agent.destroy();
		},
	};
}

type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly agent: Agent;
};

async function serve(state: State, exchange: Exchange): Promise<void> {
	const {request, response} = exchange;
	try {
		if (request.url === '/healthz') {
			response.end();
			return;
		}

		const workspace = state.workspaces.get(digestOf((request.headers.authorization ?? '').slice('Bearer '.length)));
		const body = await text(request);
		if (workspace === undefined) {
			sendEmptyResponse(response, 401);
			return;
		}

		await (request.url === '/v1/chat/completions' ? forwardChat(state, {...exchange, workspace, body}) : forwardService(state, {...exchange, workspace, body}));
	} catch {
		response.destroy();
	}
}

type Call = Exchange & {
	readonly workspace: WorkspaceId;
	readonly body: string;
};

async function forwardChat(state: State, call: Call): Promise<void> {
	const body = JSON.parse(call.body) as ChatBody;
	let characters = 0;
	for (const {content} of body.messages) {
		characters += content.length;
	}

	const choice = naiveChoice({
		class: headerOf(call.request, 'valehitch-class'),
		model: body.model,
		stream: body.stream ?? false,
		promptTokens: Math.ceil(characters / charactersPerToken),
		maxTokens: body[wireNames.maxTokens] ?? 0,
		session: false,
	}, {...state, workspace: call.workspace});
	if (choice === undefined) {
		sendEmptyResponse(call.response, 403);
		return;
	}

	const key = `${choice.model}@${choice.version}`;
	await forward(state, call, {
		servers: state.servers.filter(({models}) => models?.includes(key)),
		method: 'POST',
		path: '/v1/chat/completions',
		headers: {'valehitch-model': choice.model, 'valehitch-version': choice.version},
		body: JSON.stringify({...body, model: key}),
	});
}

async function forwardService(state: State, call: Call): Promise<void> {
	const groups = servicePathPattern.exec(call.request.url ?? '')?.groups;
	await forward(state, call, {
		servers: state.servers.filter(({service}) => service !== undefined && service === groups?.service),
		method: call.request.method ?? 'GET',
		path: groups?.path ?? '/',
		headers: {},
		body: call.body,
	});
}

async function forward(state: State, {request, response, agent}: Call, forwarded: ForwardedCall): Promise<void> {
	const requestId = randomUUID();
	for (let attempt = 1; attempt <= maximumAttempts; attempt++) {
		const server = forwarded.servers[state.nextServerIndex++ % forwarded.servers.length];
		if (server === undefined) {
			break;
		}

		const upstreamResponse = await sendAttempt(server, forwarded, {
			agent,
			response,
			headers: {
				'content-type': 'application/json',
				'valehitch-request-id': requestId,
				'valehitch-attempt': String(attempt),
				'idempotency-key': headerOf(request, 'idempotency-key'),
			},
		});
		if (upstreamResponse !== undefined && (upstreamResponse.statusCode ?? 500) < 500) {
			response.writeHead(upstreamResponse.statusCode ?? 500, {
				...forwarded.headers, 'valehitch-request-id': requestId, 'content-type': upstreamResponse.headers['content-type'] ?? 'application/json',
			});
			await pipeline(upstreamResponse, response);
			return;
		}

		upstreamResponse?.resume();
	}

	sendEmptyResponse(response, 502);
}

type Attempt = {
	readonly agent: Agent;
	readonly response: ServerResponse;
	readonly headers: Readonly<Record<string, string>>;
};

async function sendAttempt(server: NaiveServer, {method, path, body}: ForwardedCall, {agent, response, headers}: Attempt): Promise<IncomingMessage | undefined> {
	const outgoing = sendRequest(`${server.address}${path}`, {method, agent, headers: {...headers, 'content-length': new TextEncoder().encode(body).byteLength}});
	const cancel = () => {
		outgoing.destroy();
	};

	response.once('close', cancel);
	// After the response headers, the reader of the body receives the error.
	outgoing.on('error', cancel);
	try {
		outgoing.end(body);
		const [upstreamResponse] = await once(outgoing, 'response') as [IncomingMessage];
		return upstreamResponse;
	} catch {
		response.off('close', cancel);
		return undefined;
	}
}

function sendEmptyResponse(response: ServerResponse, status: number): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end('{}');
}

function headerOf(request: IncomingMessage, name: string): string {
	const value = request.headers[name];
	return typeof value === 'string' ? value : '';
}
