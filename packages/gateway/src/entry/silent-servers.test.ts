import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type InstanceId, type ServerId} from '@valehitch/core';
import {PeerNetwork} from '@valehitch/transport';
import test, {type ExecutionContext} from 'ava';
import {testConfiguration, testRoute} from '../configuration/_test-configuration.js';
import {type Route} from '../configuration/routing-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {seededRandom} from './_test-random.js';
import {startTestEntry, type StartTestEntryOptions} from './_test-entry-instance.js';
import {testRequest} from './_test-request.js';
import {ignore} from './_test-run.js';
import {type SilenceStart, startSilentServer} from './_test-silent-server.js';

/** How much longer it may be left alone, in milliseconds. */
const afterSilenceMilliseconds = 500;
const serverCount = 4;
/** How many of the servers fall silent, and for how long, in milliseconds. */
const silences = [{silentCount: 1, duration: 1000}, {silentCount: 1, duration: 1900}, {silentCount: serverCount, duration: 1900}] as const;
/** The number of requests that are sent together; more fail together than it takes to eject a server. */
const requestCount = 32;
/** The time between two events, in milliseconds. */
const eventMilliseconds = 250;
const healthPath = '/healthz';
const services = testConfiguration().services.map(service => ({...service, healthPath}));
const text = 'one, two, three';
const events = ['id: 1\ndata: one\n\n', 'id: 2\ndata: two\n\n', 'id: 3\ndata: three\n\n'];
const limits = {
	isPublic: true, timeout: 20_000, targetLatency: 300, targetGap: 600, maximumAttempts: 3,
} as const;
const routes = {
	safe: testRoute({...limits, kind: 'safe'}),
	unsafe: testRoute({...limits, kind: 'unsafe'}),
	resumable: testRoute({...limits, kind: 'streaming', isResumable: true}),
	streamed: testRoute({...limits, kind: 'streaming'}),
};

type RouteKind = keyof typeof routes;
type Answer = (message: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** Frames an answer by the end of its connection. */
function endWithConnection(response: ServerResponse): void {
	response.removeHeader('Transfer-Encoding');
	response.setHeader('Connection', 'close');
}

function sendPlain(_message: IncomingMessage, response: ServerResponse): void {
	response.setHeader('Content-Length', text.length);
	response.end(text);
}

const plainWithoutLength: Answer = (_message, response) => {
	endWithConnection(response);
	response.end(text);
};

/** Sends the events one after the other, so that streams that began together are all in progress. */
async function sendStream({headers}: IncomingMessage, response: ServerResponse): Promise<void> {
	for (const event of events.slice(Number(headers['last-event-id'] ?? 0))) {
		response.write(event);
		await delay(eventMilliseconds);
	}

	response.end();
}

const streamWithoutLength: Answer = async (message, response) => {
	endWithConnection(response);
	await sendStream(message, response);
};

/** Longer than a pause after which a server must say who it is. */
const pauseMilliseconds = 550;

/** Pauses before an answer ends with its connection, so that the server must say who it is. */
const plainWithPause: Answer = async (_message, response) => {
	endWithConnection(response);
	response.write(text.slice(0, -1));
	await delay(pauseMilliseconds);
	response.end(text.slice(-1));
};

const streamWithPause: Answer = async ({headers}, response) => {
	endWithConnection(response);
	response.write(events.slice(Number(headers['last-event-id'] ?? 0)).join(''));
	await delay(pauseMilliseconds);
	response.end();
};

type Row = {
	readonly name: string;
	readonly start: SilenceStart;
	readonly kinds: readonly RouteKind[];
	/** By default, plain answers have a length, and streams are sent in chunks. */
	readonly answer?: Answer;
	/** The number of requests on each connection that come before; 0 by default. */
	readonly earlier?: number;
	/** Whether a configuration removes the service during the silence; by default it stays. */
	readonly isServiceRemoved?: boolean;
};

const plain: readonly RouteKind[] = ['safe', 'unsafe'];
const streams: readonly RouteKind[] = ['resumable', 'streamed'];
const rows: readonly Row[] = [
	{name: 'before it reads a request', start: {direction: 'request', after: ''}, kinds: [...plain, ...streams]},
	{name: 'before the rest of a request', start: {direction: 'request', after: 'GET /la'}, kinds: [...plain, ...streams]},
	{name: 'before the head of an answer', start: {direction: 'answer', after: ''}, kinds: [...plain, ...streams]},
	{name: 'inside the head of an answer', start: {direction: 'answer', after: 'HTTP/1.1 200'}, kinds: [...plain, ...streams]},
	{name: 'between two events', start: {direction: 'answer', after: 'data: two\n\n'}, kinds: streams},
	{name: 'inside an event', start: {direction: 'answer', after: 'id: 3\nda'}, kinds: streams},
	{name: 'before the end of a stream', start: {direction: 'answer', after: 'data: three\n\n'}, kinds: streams},
	{name: 'before the last byte of an answer', start: {direction: 'answer', after: text.slice(0, -1)}, kinds: plain},
	{
		name: 'inside an answer without a length', start: {direction: 'answer', after: 'one, '}, kinds: plain, answer: plainWithoutLength,
	},
	{
		name: 'before the end of an answer without a length', start: {direction: 'answer', after: text}, kinds: plain, answer: plainWithoutLength,
	},
	{
		name: 'between two events of a stream without a length', start: {direction: 'answer', after: 'data: two\n\n'}, kinds: streams, answer: streamWithoutLength,
	},
	{
		name: 'before the end of a stream without a length', start: {direction: 'answer', after: 'data: three\n\n'}, kinds: streams, answer: streamWithoutLength,
	},
	{
		name: 'on a kept connection', start: {direction: 'request', after: '/late/'}, kinds: [...plain, ...streams], earlier: 1,
	},
	{
		name: 'in a health check that asks who it is', start: {direction: 'request', after: healthPath}, kinds: plain, answer: plainWithPause,
	},
	{
		name: 'in such a check after a stream', start: {direction: 'request', after: healthPath}, kinds: streams, answer: streamWithPause,
	},
	{
		name: 'before the end of an answer without a length while its service is removed', start: {direction: 'answer', after: text}, kinds: plain, answer: plainWithPause, isServiceRemoved: true,
	},
	{
		name: 'before the end of a stream without a length while its service is removed',
		start: {direction: 'answer', after: 'data: three\n\n'},
		kinds: streams,
		answer: streamWithoutLength,
		isServiceRemoved: true,
	},
];

type Scene = Pick<Row, 'start'> & {
	readonly earlier: Row['earlier'] | undefined;
	readonly isServiceRemoved: Row['isServiceRemoved'] | undefined;
	readonly route: Route;
	readonly answer: Answer;
	/** How many of the servers fall silent. */
	readonly silentCount: number;
	/** How long they are silent, in milliseconds. */
	readonly duration: number;
	/** Whether the instance's own links to the servers fail, so that it goes through another one. */
	readonly isTunnelled: boolean;
};

/** The address at which the servers listen, and one at which connections to their ports are refused. */
const [host, refusingHost] = ['127.0.0.1', '127.0.0.9'] as const;
const relay = '10.0.1.2' as InstanceId;

/** Starts another instance that reaches the servers, and opens tunnels through it. */
async function startRelay(t: ExecutionContext): Promise<Pick<StartTestEntryOptions, 'peers' | 'openTunnel'>> {
	const key = 'a-key-that-all-share';
	const network = await PeerNetwork.listen({
		self: relay, key, host, port: 0, onMessage: ignore, onRequest: async () => undefined, onHandlerError: ignore, isTunnelAllowed: () => true,
	});
	t.teardown(async () => network.close());
	return {
		peers: [relay],
		openTunnel: async (instance, {port}, timeoutMilliseconds) => network.openTunnel({instance, host, port: network.port}, {host, port}, {timeoutMilliseconds}),
	};
}

/** Starts servers that fall silent, and an entry instance before them. */
async function startServers(t: ExecutionContext, {
	route, answer, start, silentCount, duration, isTunnelled,
}: Scene) {
	const runs = new Map<string, number>();
	let silent = 0;
	let sends = 0;
	let mayBeSilent = false;
	const servers = await Promise.all(Array.from({length: serverCount}, async (_, index) => startSilentServer(t, {
		start,
		duration,
		maySilence() {
			if (!mayBeSilent) {
				return false;
			}

			silent++;
			return silent <= silentCount;
		},
		handle(message, response) {
			const target = message.url ?? '';
			if (target === healthPath) {
				response.writeHead(200, {server: `server-${index}`}).end();
				return;
			}

			if (!mayBeSilent) {
				response.setHeader('Connection', 'close');
				response.end(events[0]);
				return;
			}

			runs.set(target, (runs.get(target) ?? 0) + 1);
			void answer(message, response);
		},
	})));
	const started = await startTestEntry(t, {
		...isTunnelled && await startRelay(t),
		records: servers.map((server, index) => testServer({
			id: `server-${index}` as ServerId, host: isTunnelled ? refusingHost : host, port: server.port, slots: 64,
		})),
		routes: [route],
		services,
		random: seededRandom(),
		log(kind) {
			sends += kind === 'request-dispatched' ? 1 : 0;
		},
		dialect: {
			readRequest: ({url = ''}) => testRequest({timeout: 30_000, target: url}),
			sendHeaders: (_request, {lastEventId}) => [['Host', 'desk.example'], ...(lastEventId === undefined ? [] : [['Last-Event-Id', lastEventId] as const])],
		},
	});
	const requestOne = async (target: string): Promise<string> => {
		try {
			const response = await fetch(`http://127.0.0.1:${started.port}/labels/${target}`);
			return `${response.status} ${await response.text()}`;
		} catch (error) {
			return String(error);
		}
	};

	if (isTunnelled) {
		// The instance finds that its own links fail, and then that the servers can be reached.
		while (await requestOne('first') !== `200 ${events[0]}` || started.entry.inspection.beliefs().some(({conditions}) => conditions.length > 0)) {
			await delay(10);
		}
	}

	mayBeSilent = true;
	return {
		...started,
		runs,
		servers,
		sends: () => sends,
		/** Sends requests together and returns their answers. */
		request: async (name: string) => Promise.all(Array.from({length: requestCount}, async (_, index) => requestOne(`${name}/${index}`))),
	};
}

/** Returns what was wrong with requests that were sent together to servers that fell silent. */
async function findFaults(t: ExecutionContext, scene: Scene): Promise<readonly string[]> {
	const {route, silentCount, earlier = 0, isServiceRemoved = false} = scene;
	const {entry, request, runs, servers, sends, changeServices} = await startServers(t, scene);
	for (let index = 0; index < earlier; index++) {
		await request(`earlier-${index}`);
	}

	const sendsBefore = sends();
	const sent = request('late');
	while (!servers.some(server => server.wasSilent()) || sends() < sendsBefore + requestCount) {
		await delay(10);
	}

	if (isServiceRemoved) {
		changeServices({routes: [], services: []});
	}

	await Promise.all(servers.map(async server => server.goesOn()));
	await delay(afterSilenceMilliseconds);
	const avoided = entry.inspection.beliefs().filter(({conditions}) => conditions.length > 0);
	const whole = `200 ${route.kind === 'streaming' ? events.join('') : text}`;
	const answers = await sent;
	const broken = answers.filter(answer => answer !== whole);
	const isRepeatable = route.kind === 'safe' || route.isResumable;
	const repeated = isRepeatable ? [] : [...runs].filter(([, count]) => count > 1);
	const silent = servers.filter(server => server.wasSilent()).length;
	return [
		...(silent === silentCount ? [] : [`${silent} servers fell silent`]),
		...broken,
		...repeated.map(([target, count]) => `${target} ran ${count} times`),
		...avoided.map(({server, conditions}) => `${server} is ${conditions.join(', ')}`),
	];
}

/** Checks the requests of a row in all silences, each with servers of its own. */
async function assertFaultless(t: ExecutionContext, {answer, earlier, isServiceRemoved, start}: Row, {kind, isTunnelled}: Pick<Scene, 'isTunnelled'> & {readonly kind: RouteKind}): Promise<void> {
	const route = routes[kind];
	await Promise.all(silences.map(async silence => {
		const faults = await findFaults(t, {
			...silence, start, earlier, isServiceRemoved, isTunnelled, route, answer: answer ?? (route.kind === 'streaming' ? sendStream : sendPlain),
		});
		t.deepEqual(faults, [], `${kind}, ${silence.silentCount} of ${serverCount} servers for ${silence.duration} ms`);
	}));
}

for (const row of rows) {
	test.serial(`a server that is silent ${row.name} and goes on costs no request, no second run and no ejection`, async t => {
		await Promise.all(row.kinds.map(async kind => assertFaultless(t, row, {kind, isTunnelled: false})));
	});

	test.serial(`a server that is silent ${row.name}, in a tunnel, and goes on costs no request, no second run and no ejection`, async t => {
		// One kind at a time: the other instances run in this process, and tunnels open within a time.
		for (const kind of row.kinds) {
			await assertFaultless(t, row, {kind, isTunnelled: true});
		}
	});
}
