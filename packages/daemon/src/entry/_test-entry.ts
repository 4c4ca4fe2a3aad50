import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {createServer as createHttpServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, createServer as createSocketServer, type Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import {
	type EffectiveConfiguration, type InstanceId, type ModelId, type RequestId, type ServerId, type ServiceId, toId, type VersionId, type WorkspaceId, type ZoneId,
} from '@valehitch/core';
import {ServerTable} from '@valehitch/membership';
import {DecisionHistory, StageHistory} from '@valehitch/routing';
import {type ExecutionContext} from 'ava';
import {Right} from 'purify-ts';
import {activate} from '../distribution/active-configuration.js';
import {systemClock} from '../system-clock.js';
import {Timeline} from '../timeline.js';
import {listen} from './_test-listen.js';
import {type EntryContext} from './entry-context.js';
import {handleChat} from './handle-chat.js';
import {handleService} from './handle-service.js';
import {InProgressCounts} from './in-progress-counts.js';
import {RequestCounter} from './request-counter.js';
import {ServerConnections, type ServerConnectionsOptions} from './server-connections.js';
import {OverdueAttempts} from './traffic/overdue-attempts.js';
import {ServerActivity} from './traffic/server-activity.js';
import {ServerSelector} from './traffic/server-selector.js';

/** The kind of a request: a call to a service that may be repeated or not, or a chat completion. */
export type TestKind = 'safe' | 'unsafe' | 'chat' | 'stream';

/** All kinds of requests. */
export const testKinds: readonly TestKind[] = ['safe', 'unsafe', 'chat', 'stream'];

/** Where a server may be silent while it runs a request. */
export type RunPlace = 'before its head' | 'between two pieces' | 'before the last byte';

/** A backend server of a test. */
export type TestServer = {
	readonly id: ServerId;
	/** The names of the requests that it has begun to run, in order. */
	readonly runs: string[];
	/** Resolves while the server may go on; replaced in order to suspend it. */
	resumed: Promise<unknown>;
};

/** A run of a request on a server. */
export type TestRun = {
	readonly name: string;
	readonly server: TestServer;
	readonly place: RunPlace;
	/** The answer, which a test may break off. */
	readonly response: ServerResponse;
};

/** How the servers of a test answer. */
export type TestEntryOptions = {
	readonly serverCount: number;
	/** Called at each place of a run, which then waits for the result; does not wait by default. */
	readonly pause?: (run: TestRun) => Promise<unknown> | undefined;
	/** The stall timeout of the settings, in milliseconds. */
	readonly stallMilliseconds: number;
	/** The deadline of every request, in milliseconds. */
	readonly deadlineMilliseconds: number;
	/** Called with each request of a caller and its response, before it is handled; nothing is called by default. */
	readonly onRequest?: (request: IncomingMessage, response: ServerResponse) => void;
};

/** An answer as the caller received it. */
export type TestAnswer = {
	readonly name: string;
	readonly status: number;
	readonly isWhole: boolean;
};

const zone = toId<ZoneId>('hall-a');
const instance = toId<InstanceId>('entry-a');
const workspace = toId<WorkspaceId>('yard');
const service = toId<ServiceId>('labels');
const model = toId<ModelId>('tag-small');
const version = toId<VersionId>('1.0');
const arrivalMilliseconds = 20;
const maximumRunsPerRequest = 1.1;
const pieces = ['Tag', ' 4711', ' coil'];
const done = 'data: [DONE]\n\n';
const completion = JSON.stringify({choices: [{message: {content: pieces.join('')}}], usage: {prompt_tokens: 1, completion_tokens: 3}});
const configuration = {
	revision: {era: 1, number: 1},
	rollouts: {},
	document: {
		models: {[model]: {versions: {[version]: {state: 'settled', quality: 0.9, prices: {input: 0, output: 0}}}}},
		services: {[service]: {pricePerCall: 0, repeatable: []}},
		workspaces: {
			[workspace]: {
				keyDigests: [],
				weight: 1,
				allowed: {[model]: [version]},
				services: [service],
				policy: [{
					name: 'any', models: [model], qualityTarget: 0, deadlineMilliseconds: 60_000, priority: 1,
				}],
			},
		},
	},
} as unknown as EffectiveConfiguration;

type ChatRequest = {
	readonly stream: boolean;
	/** The part of the answer that is known already. */
	readonly resume?: {readonly text: string};
	readonly messages: ReadonlyArray<{readonly content: string}>;
};

function ignore(): void {
	// The event is not under test.
}

function chunkOf(content: string): string {
	return `data: ${JSON.stringify({choices: [{delta: {content}}]})}\n\n`;
}

function piecesOf(kind: TestKind): readonly string[] {
	if (kind === 'stream') {
		return [...pieces.map(piece => chunkOf(piece)), done];
	}

	return kind === 'chat' ? [completion.slice(0, 10), completion.slice(10, -1), completion.slice(-1)] : pieces;
}

/** The part of a daemon that serves callers, before servers that are slow or silent. */
export class TestEntry {
	/**
	Starts the servers, and the part of the daemon before them.

	@param t The test.
	@param options How the servers answer.
	@returns The entry.
	*/
	static async start(t: ExecutionContext, options: TestEntryOptions): Promise<TestEntry> {
		const entry = new TestEntry(options);
		const table = new ServerTable({clock: systemClock, zone, expiryMilliseconds: 600_000});
		for (const server of entry.servers) {
			const address = await entry.#startServer(t, server);
			const common = {
				zone, address, capacity: 64, active: 0, checksFencing: false, shuttingDown: false, sequence: 1, startedAt: 1,
			};
			table.announce({
				...common, server: server.id, kind: 'service', service, models: [],
			});
			table.announce({
				...common, server: toId<ServerId>(`engine-of-${server.id}`), kind: 'engine', models: [{model, version}],
			});
		}

		await entry.#startEntry(t, table);
		return entry;
	}

	readonly servers: readonly TestServer[];
	/** What was written to the log. */
	readonly logged: Array<Readonly<Record<string, unknown>>> = [];
	/** The servers that were ejected. */
	readonly ejected: string[] = [];
	readonly #options: TestEntryOptions;
	#address = '';
	#requests = 0;

	private constructor(options: TestEntryOptions) {
		this.#options = options;
		this.servers = Array.from({length: options.serverCount}, (_, index) => ({id: toId<ServerId>(`server-${index}`), runs: [], resumed: Promise.resolve()}));
	}

	/** All runs of all servers. */
	get runs(): readonly string[] {
		return this.servers.flatMap(({runs}) => runs);
	}

	/**
	Sends a request and reads its answer.

	@param kind The kind of the request.
	@param name The name of the request.
	@returns The answer.
	*/
	async send(kind: TestKind, name: string): Promise<TestAnswer> {
		const response = kind === 'chat' || kind === 'stream'
			? await fetch(`${this.#address}/v1/chat/completions`, {method: 'POST', body: JSON.stringify({model, stream: kind === 'stream', messages: [{role: 'user', content: name}]})})
			: await fetch(`${this.#address}/services/${service}/${name}`, {method: kind === 'safe' ? 'GET' : 'POST'});
		try {
			return {name, status: response.status, isWhole: await response.text() === piecesOf(kind).join('')};
		} catch {
			return {name, status: response.status, isWhole: false};
		}
	}

	async #startServer(t: ExecutionContext, server: TestServer): Promise<string> {
		const sockets = new Set<Socket>();
		const http = createHttpServer((request, response) => {
			void this.#run(server, request, response);
		});
		// The system accepts connections while the process is silent.
		const listener = createSocketServer({pauseOnConnect: true}, socket => {
			sockets.add(socket);
			socket.on('error', ignore);
			void this.#admit(server, () => {
				http.emit('connection', socket);
				socket.resume();
			});
		}).listen(0, '127.0.0.1');
		await once(listener, 'listening');
		t.teardown(() => {
			for (const socket of sockets) {
				socket.destroy();
			}

			listener.close();
		});
		return `http://127.0.0.1:${(listener.address() as AddressInfo).port}`;
	}

	async #admit(server: TestServer, accept: () => void): Promise<void> {
		await server.resumed;
		accept();
	}

	async #run(server: TestServer, request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await text(request);
		const chat = request.url?.startsWith('/v1/') === true ? JSON.parse(body) as ChatRequest : undefined;
		const name = chat === undefined ? (request.url ?? '').slice(1) : chat.messages[0]!.content;
		const pause = async (place: RunPlace): Promise<void> => {
			await this.#options.pause?.({
				name, server, place, response,
			});
			await server.resumed;
		};

		await server.resumed;
		server.runs.push(name);
		await pause('before its head');
		const answer = piecesOf(chat === undefined ? 'safe' : (chat.stream ? 'stream' : 'chat'));
		response.writeHead(200, {'content-type': chat?.stream === true ? 'text/event-stream' : 'application/json'});
		const known = pieces.filter((_, index) => chat?.resume?.text.startsWith(pieces.slice(0, index + 1).join(''))).length;
		for (const [index, piece] of answer.entries()) {
			if (index < known) {
				continue;
			}

			if (index === 1) {
				await pause('between two pieces');
			}

			if (index === answer.length - 1) {
				await pause('before the last byte');
			}

			response.write(piece);
		}

		response.end();
	}

	async #startEntry(t: ExecutionContext, servers: ServerTable): Promise<void> {
		const {stallMilliseconds, deadlineMilliseconds} = this.#options;
		const active = activate(configuration).unsafeCoerce();
		const log = (fields: Readonly<Record<string, unknown>>, message: string): void => {
			this.logged.push({...fields, message});
		};

		const timeline = new Timeline({
			clock: systemClock,
			instance,
			zone,
			write: ({event, server}) => {
				if (event === 'server-ejected' && server !== undefined) {
					this.ejected.push(server);
				}
			},
		});
		const decisions = new DecisionHistory({capacity: 10_000});
		const evacuatedZones = () => new Set<ZoneId>();
		const connections = new ServerConnections({
			self: {
				instance, zone, host: '127.0.0.1', port: 1,
			}, clock: systemClock, random: Math.random, log: {warn: log}, network: {}, servers, members: () => [],
		} as unknown as ServerConnectionsOptions);
		t.teardown(() => {
			connections.close();
		});
		const activity = new ServerActivity();
		const serverSelector = new ServerSelector({
			servers, zone, clock: systemClock, random: Math.random, evacuatedZones, decisions, timeline, activity,
		});
		const context = {
			settings: {
				instance, timing: {stallMilliseconds}, limits: {bodyBytes: 1_000_000}, isolation: {serve: 'all'}, keys: {sessions: []},
			},
			clock: systemClock,
			random: Math.random,
			log: {info: log, warn: log, error: log},
			timeline,
			metrics: {increment: ignore, timing: ignore, gauge: ignore},
			servers,
			active: () => active,
			connections,
			serverSelector,
			activity,
			overdue: new OverdueAttempts({
				clock: systemClock, activity, isReachable: async server => connections.isReachable(server), hasOther: (target, server) => serverSelector.hasOther(target, server),
			}),
			admission: {admit: async () => ({type: 'admitted'}), end: ignore},
			history: new StageHistory(),
			decisions,
			requests: new RequestCounter(),
			inProgress: new InProgressCounts(),
			executions: new Set(),
			bills: {open: async () => Right(undefined), settle: async () => undefined, discard: ignore},
			ratings: {
				quality: undefined, isStoppedHere: () => false, recordOutcome: ignore, recordEscalation: ignore, addServedRequest: ignore,
			},
		} as unknown as EntryContext;
		this.#address = await listen(t, (request, response) => {
			this.#requests++;
			this.#options.onRequest?.(request, response);
			const call = {
				request,
				response,
				requestId: toId<RequestId>(`r-${this.#requests}`),
				workspace,
				headers: {
					class: '', session: '', key: undefined, deadlineMilliseconds,
				},
				active,
				arrivedAt: systemClock.monotonic(),
			};
			void (request.url?.startsWith('/v1/') === true ? handleChat(call, context) : handleService(call, context));
		});
	}
}

/**
Asserts that requests were answered whole.

@param t The test.
@param answers The answers.
*/
export function assertAnswered(t: ExecutionContext, answers: readonly TestAnswer[]): void {
	t.deepEqual(answers.filter(({status, isWhole}) => status !== 200 || !isWhole), []);
}

/** What {@linkcode assertFewRuns} counts. */
export type CountedRuns = {
	readonly entry: TestEntry;
	readonly kind: TestKind;
	/** The number of requests. */
	readonly requests: number;
};

/**
Asserts that requests were rarely run twice, and those that may not be repeated never.

@param t The test.
@param counted The entry and the number of its requests.
*/
export function assertFewRuns(t: ExecutionContext, {entry: {runs}, kind, requests}: CountedRuns): void {
	t.true(runs.length <= maximumRunsPerRequest * requests, `${runs.length} runs of ${requests} requests`);
	if (kind === 'unsafe') {
		t.is(new Set(runs).size, runs.length);
	}
}

/** How {@linkcode sendWhile} sends requests. */
export type SendWhileOptions = {
	readonly kind: TestKind;
	readonly isWanted: () => boolean;
	/** Returns the beginning of the name of the next request; `short` by default. */
	readonly nameNext?: () => string;
};

/**
Sends requests one after the other while a condition holds.

@param entry The entry.
@param options The kind of the requests, and the condition.
@returns The answers.
*/
export async function sendWhile(entry: TestEntry, {kind, isWanted, nameNext = () => 'short'}: SendWhileOptions): Promise<readonly TestAnswer[]> {
	const answers: TestAnswer[] = [];
	while (isWanted()) {
		answers.push(await entry.send(kind, `${nameNext()}-${randomUUID()}`));
		await delay(arrivalMilliseconds);
	}

	return answers;
}

/** The requests that {@linkcode sendMany} sends. */
export type SendManyOptions = {
	readonly kind: TestKind;
	readonly count: number;
	/** The beginning of their names. */
	readonly name: string;
};

/**
Sends requests one shortly after the other, without waiting for answers.

@param entry The entry.
@param options The requests.
@returns The answers.
*/
export async function sendMany(entry: TestEntry, {kind, count, name}: SendManyOptions): Promise<readonly TestAnswer[]> {
	return Promise.all(Array.from({length: count}, async (_, index) => {
		await delay(index * arrivalMilliseconds);
		return entry.send(kind, `${name}-${index}`);
	}));
}
