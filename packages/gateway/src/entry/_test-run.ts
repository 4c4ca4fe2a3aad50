import {once} from 'node:events';
import {
	createServer, type IncomingMessage, request as openRequest,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout} from 'node:timers/promises';
import {ServerRelays} from '@valehitch/transport';
import {
	errorResponses, type Failure, type InstanceId, type ZoneId,
} from '@valehitch/core';
import {
	AnswerTimes, DecisionNotes, HeldMemory, RelaySelector, SecondSendAllowance, WindowedRetryBudget, ServerLinks,
} from '@valehitch/routing';
import {type ExecutionContext} from 'ava';
import {Left} from 'purify-ts';
import {testConfiguration, testRoute} from '../configuration/_test-configuration.js';
import {RouteTable} from '../configuration/route-table.js';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {testRequest} from './_test-request.js';
import {authorizeRequest} from './authorize-request.js';
import {testFreshness} from './_test-freshness.js';
import {testLease} from './_test-lease.js';
import {type Dialect} from './dialect.js';
import {type EntryContext} from './entry-context.js';
import {type SpeedReports} from './entry-servers-options.js';
import {EntryServers} from './entry-servers.js';
import {EntrySuspects, type EntrySuspectsOptions} from './entry-suspects.js';
import {EscalationDemand} from './escalation-demand.js';
import {EvidenceCounter} from './evidence-counter.js';
import {type PromptPart} from './gateway-request.js';
import {InstanceStop} from './instance-stop.js';
import {LatencyEstimator} from './latency-estimator.js';
import {RequestRun} from './request-run.js';
import {SendBorrower} from './send-borrower.js';
import {RepeatTracker} from './repeat-tracker.js';
import {VersionPins} from './version-pins.js';

/** The control instance that reports the servers. */
export const control = '10.0.0.1' as InstanceId;

/** How long the instance has run, in milliseconds; a new one may not use leases yet, since its former process may have used them. */
const uptimeMilliseconds = 120_000;

/** A minimal dialect; it treats every answer as signed by the server for the request. */
export const plainDialect: Dialect = {
	readRequest: () => testRequest(),
	sendHeaders: (_request, {model}) => [['Host', 'desk.example'], ['Model', model ?? 'none']],
	readAnswer: (status, headers) => ({
		status,
		requestId: testRequest().id,
		isNotRun: status === 429,
		isFromOtherServer: false,
		isSigned: true,
		isEncoded: false,
		confidence: typeof headers.confidence === 'string' ? Number(headers.confidence) : undefined,
		isDraining: headers.draining === '1',
		brittleness: {type: 'none'},
		rateLimit: typeof headers.limit === 'string' ? {type: 'limited', requestsPerSecond: Number(headers.limit)} : {type: 'unlimited'},
		pause: typeof headers.pause === 'string' ? {type: 'requested', milliseconds: Number(headers.pause)} : {type: 'none'},
	}),
	identityHeaders: ({id}) => [['Host', 'desk.example'], ['Server', id]],
	isAnswerOf: (server, {headers}) => headers.server === server,
	answerHeaders: ({headers: {signature}}) => typeof signature === 'string' ? [['Signature', signature]] : [],
	refuse: (_request, {kind}) => ({status: errorResponses[kind].status, headers: [], body: kind}),
};

/** Starts a server on a free port of the loopback interface. */
export async function listen(t: ExecutionContext, handle: Parameters<typeof createServer>[1]): Promise<number> {
	const server = createServer(handle);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return (server.address() as AddressInfo).port;
}

async function get(port: number): Promise<{readonly status: number; readonly text: string; readonly signature?: string}> {
	const outgoing = openRequest({host: '127.0.0.1', port, agent: false}).end();
	const [message] = await once(outgoing, 'response') as [IncomingMessage];
	let text = '';
	for await (const chunk of message.setEncoding('utf8')) {
		text += String(chunk);
	}

	const {signature} = message.headers;
	return {status: message.statusCode ?? 0, text, ...(typeof signature === 'string' && {signature})};
}

const sendAtOnce: EntryContext['admission'] = {
	admit: async () => undefined,
	heldWork: () => [],
	retryAfter: () => undefined,
};

/** Sends a number of requests in sequence through an instance that knows no server until `nextServers` adds some. */
export async function sendRequests(t: ExecutionContext, times: number, options: SendRequestsOptions) {
	const {
		nextServers, route = testRoute(), timeout = 60_000, inputTokens = 0, promptParts = [], wait = async () => undefined, latencies, speedReports, log = ignore,
		checkProcess = async () => 'running', areServersReachable = true, memory = new HeldMemory(), call = get, prepare = ignore, admission = sendAtOnce, onRefused = ignore, random = () => 0.5,
	} = options;
	const clock = {now: () => new Date(), monotonic: () => performance.now()};
	const servers = new EntryServers({
		zone: 'hall-a' as ZoneId,
		startedAt: clock.monotonic() - uptimeMilliseconds,
		random,
		loads: {
			peerLoadAt: () => 0, recordChange: ignore, discardServer: ignore, ...speedReports,
		},
		onReplaced: ignore,
	});
	const lease = testLease({duration: 60_000});
	lease.confirm(clock.monotonic());
	const table = new RouteTable(testConfiguration({routes: [route]}));
	const metrics = createGatewayMetrics();
	const context: EntryContext = {
		clock,
		random: () => 0.5,
		log,
		metrics,
		dialect: {
			...plainDialect,
			refuse(refused, failed) {
				onRefused(failed);
				return plainDialect.refuse(refused, failed);
			},
		},
		bounds: {canaryShare: 0.1, minimumConfidence: 50},
		lease,
		freshness: testFreshness(clock, {lease}),
		servers,
		poolLoads: {picture: () => ({age: Number.POSITIVE_INFINITY, workAt: () => undefined, heldByOthers: []}), recordSample: ignore, slownessOf: () => 1},
		links: new ServerLinks({
			clock,
			random: () => 0.5,
			servers: () => servers.availability.available,
			isReachable: async () => areServersReachable,
			wait: async milliseconds => setTimeout(milliseconds),
			onCutOff: ignore,
			onReachable: ignore,
		}),
		notes: new DecisionNotes(),
		memory,
		relays: new ServerRelays({
			clock, selector: new RelaySelector({random: () => 0.5}), peers: () => [], openTunnel: async () => Left({type: 'peer-unavailable', reason: 'There is no peer'}), onTunnel: ignore,
		}),
		borrower: new SendBorrower({
			clock, random: () => 0.5, rates: servers.limits.rates, peers: () => [], exhaustedServers: () => [], ask: async () => undefined, onBorrowed: ignore,
		}),
		suspects: new EntrySuspects({
			clock, log, servers, checkProcess, onChanged: ignore,
		}),
		budget: new WindowedRetryBudget({ratio: 1, minimumPerWindow: 5}),
		hedges: new SecondSendAllowance({ratio: 1}),
		answerTimes: new AnswerTimes(),
		wholeTimes: new AnswerTimes(),
		escalations: new EscalationDemand({contentionAt: () => ({wait: 0, target: route.targetLatency})}),
		admission,
		latencies: latencies ?? new LatencyEstimator(clock),
		pins: new VersionPins({sessionMilliseconds: 5000}),
		repeats: new RepeatTracker(),
		evidence: new EvidenceCounter({entry: control, run: 'one', clock}),
		table: () => table,
		wait,
		nextReply: async () => undefined,
		async nextServerChange() {
			nextServers(servers);
		},
		rolloutOf: () => undefined,
		stop: new InstanceStop(clock),
		reportLimit: ignore,
		tellRelay: ignore,
		tellRejection: () => 0,
	};
	t.teardown(() => {
		context.links.stop();
	});
	prepare(context);
	const request = testRequest({
		timeout, inputTokens, promptParts, choosesModel: route.sizes.length > 0,
	});
	const authorized = authorizeRequest(request, {table, lease, now: clock.monotonic()}).unsafeCoerce();
	const entry = await listen(t, (_message, response) => {
		void new RequestRun(context, {
			request, body: new Uint8Array(), held: memory.open(), response, authorized, arrivedAt: clock.monotonic(),
		}).run();
	});
	const answers: Array<Awaited<ReturnType<typeof get>>> = [];
	while (answers.length < times) {
		answers.push(await call(entry));
	}

	return {answers, evidence: context.evidence.countersOf(new Set([route.services[0]!.service]))};
}

/** Options of {@linkcode sendRequests}. */
export type SendRequestsOptions = {
	readonly nextServers: (servers: EntryServers) => void;
	readonly route?: ReturnType<typeof testRoute>;
	/** Receives the log lines; they are discarded by default. */
	readonly log?: EntryContext['log'];
	/** The caller's timeout, in milliseconds. */
	readonly timeout?: number;
	/** The length of the prompt, in tokens. */
	readonly inputTokens?: number;
	/** The parts of the prompt; none by default. */
	readonly promptParts?: readonly PromptPart[];
	/** Waits for a number of milliseconds; by default not at all. */
	readonly wait?: EntryContext['wait'];
	/** The known latencies; none by default. */
	readonly latencies?: LatencyEstimator;
	/** The speeds of servers as all entry instances observe them; not known by default. */
	readonly speedReports?: SpeedReports;
	/** Checks the process of a server; by default all of them run. */
	readonly checkProcess?: EntrySuspectsOptions['checkProcess'];
	/** Whether trial connections to servers succeed; true by default. */
	readonly areServersReachable?: boolean;
	/** What the instance holds; without a limit by default. */
	readonly memory?: HeldMemory;
	/** Sends a request to the port of the instance and reads the answer; by default as fast as it comes. */
	readonly call?: typeof get;
	/** Holds or rejects requests; by default all are sent at once. */
	readonly admission?: EntryContext['admission'];
	/** Called with each failure that a caller is told. */
	readonly onRefused?: (failed: Failure) => void;
	/** Draws the servers; always 0.5 by default. */
	readonly random?: () => number;
	/** Called with the context of the instance before the first request. */
	readonly prepare?: (context: EntryContext) => void;
};

/** Sends one request through such an instance. */
export async function sendRequest(t: ExecutionContext, nextServers: (servers: EntryServers) => void, route = testRoute()) {
	const {answers} = await sendRequests(t, 1, {nextServers, route});
	return answers[0];
}

/** A callback that does nothing. */
export function ignore(): void {
	// Intentionally empty.
}
