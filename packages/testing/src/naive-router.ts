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

/** A backend server that the naive router was told of. */
export type NaiveServer = {
	readonly address: string;
	/** For an engine: its versions, such as `tag-small@1.0`. */
	readonly models?: readonly string[] | undefined;
	/** For a plain service: its name. */
	readonly service?: string | undefined;
};

/** How to start a naive router. */
export type NaiveRouterOptions = {
	/** The operators' document, with every member given. */
	readonly document: Configuration;
	/** The servers; the list never changes. */
	readonly servers: readonly NaiveServer[];
	/** The port on 127.0.0.1; a free one by default. */
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
	turn: number;
};

/** A call to some server of a list. */
type Forward = {
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
Starts the naive router that valehitch is compared with: the first allowed version that meets the target by its listed quality, the engines in turn, another try on any error, no limits, no state.

@param options What it was told.
@returns The running router.
@throws Where a policy condition does not compile or the port can't be opened.
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
		turn: 0,
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
			refuse(response, 401);
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
		refuse(call.response, 403);
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

async function forward(state: State, {request, response, agent}: Call, sent: Forward): Promise<void> {
	const requestId = randomUUID();
	for (let attempt = 1; attempt <= maximumAttempts; attempt++) {
		const server = sent.servers[state.turn++ % sent.servers.length];
		if (server === undefined) {
			break;
		}

		const answer = await attemptOn(server, sent, {
			agent,
			response,
			headers: {
				'content-type': 'application/json',
				'valehitch-request-id': requestId,
				'valehitch-attempt': String(attempt),
				'idempotency-key': headerOf(request, 'idempotency-key'),
			},
		});
		if (answer !== undefined && (answer.statusCode ?? 500) < 500) {
			response.writeHead(answer.statusCode ?? 500, {
				...sent.headers, 'valehitch-request-id': requestId, 'content-type': answer.headers['content-type'] ?? 'application/json',
			});
			await pipeline(answer, response);
			return;
		}

		answer?.resume();
	}

	refuse(response, 502);
}

type Attempt = {
	readonly agent: Agent;
	readonly response: ServerResponse;
	readonly headers: Readonly<Record<string, string>>;
};

async function attemptOn(server: NaiveServer, {method, path, body}: Forward, {agent, response, headers}: Attempt): Promise<IncomingMessage | undefined> {
	const outgoing = sendRequest(`${server.address}${path}`, {method, agent, headers: {...headers, 'content-length': new TextEncoder().encode(body).byteLength}});
	const cancel = () => {
		outgoing.destroy();
	};

	response.once('close', cancel);
	// An error after the head of the answer reaches the reader of its body.
	outgoing.on('error', cancel);
	try {
		outgoing.end(body);
		const [answer] = await once(outgoing, 'response') as [IncomingMessage];
		return answer;
	} catch {
		response.off('close', cancel);
		return undefined;
	}
}

function refuse(response: ServerResponse, status: number): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end('{}');
}

function headerOf(request: IncomingMessage, name: string): string {
	const value = request.headers[name];
	return typeof value === 'string' ? value : '';
}
