import {type IncomingMessage, type ServerResponse} from 'node:http';
import {env} from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	failure, type ModelId, type ServerId, type ServiceId, toId,
} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {testConfiguration, testRoute} from '../configuration/_test-configuration.js';
import {type Route, type RouteId, type RoutingConfiguration} from '../configuration/routing-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {startTestEntry} from './_test-entry-instance.js';
import {seededRandom} from './_test-random.js';
import {RawCaller, type RawCallerAnswer, type RawCallerRequest} from './_test-raw-caller.js';
import {testRequest} from './_test-request.js';
import {listen, plainDialect} from './_test-run.js';

/** The seeds; more by hand, separated by commas. */
const seeds = (env.WHOLE_REQUEST_SEEDS ?? '1').split(',').map(Number);
/** How long requests are sent, in milliseconds. */
const sendingMilliseconds = 5000;
/** The time between two connections that are opened, and between two changes, in milliseconds. */
const connectionGap = 25;
const changeGap = 180;
/** The time limits of routes, in milliseconds; a stream may end at the low one. */
const timeLimit = 12_000;
const lowTimeLimit = 700;
/** How much earlier than its time limit a stream may seem to end, as times are rounded, and how long answers are waited for, in milliseconds. */
const roundedMilliseconds = 2;
const answerMilliseconds = 2 * timeLimit;
/** The longest pause of a server, in milliseconds. */
const longestPause = 1900;
/** How much shorter than the announced time callers keep idle connections: a half. */
const idleFactor = 2;
const healthPaths = ['/healthz', '/other'];
const text = 'one, two, three';
const events = ['id: 1\ndata: one\n\n', 'id: 2\ndata: two\n\n', 'id: 3\ndata: three\n\n'];
const models = ['small', 'large'].map(id => toId<ModelId>(id));
const services = ['labels', 'desks'].map(id => toId<ServiceId>(id));
const serversOfService = 3;
const prefixes = ['plain', 'once', 'stream', 'print', 'model'] as const;

type Prefix = typeof prefixes[number];
type Random = () => number;

function pick<Value>(random: Random, values: readonly Value[]): Value {
	return values[Math.floor(random() * values.length)]!;
}

function createRoute(prefix: Prefix, changes: Partial<Route> = {}): Route {
	const isStream = prefix === 'stream' || prefix === 'print' || prefix === 'model';
	return testRoute({
		id: toId<RouteId>(prefix),
		pathPrefix: `/${prefix}/`,
		kind: isStream ? 'streaming' : (prefix === 'once' ? 'unsafe' : 'safe'),
		timeout: timeLimit,
		targetLatency: 300,
		targetGap: isStream ? 400 : undefined,
		maximumAttempts: 3,
		isResumable: prefix !== 'print',
		sizes: prefix === 'model' ? models : [],
		...changes,
	});
}

function serviceOf(id: ServiceId, changes: Partial<RoutingConfiguration['services'][number]> = {}): RoutingConfiguration['services'][number] {
	return {
		id, maximumConnections: 100, models: models.map((model, index) => ({id: model, cost: index + 1})), healthPath: '/healthz', ...changes,
	};
}

const base = {
	...testConfiguration(),
	routes: prefixes.map(prefix => createRoute(prefix)),
	services: services.map(id => serviceOf(id)),
};

type Change = Partial<Omit<RoutingConfiguration, 'version'>>;

function changeLimits(changes: Partial<RoutingConfiguration['limits']>): Change {
	return {limits: {...base.limits, ...changes}};
}

function changeRoutes(changes: Partial<Route>): Change {
	return {routes: prefixes.map(prefix => createRoute(prefix, changes))};
}

/** All fields, each by its name. */
const changes: ReadonlyMap<string, (random: Random) => Change> = new Map<string, (random: Random) => Change>([
	['all as at first', () => base],
	['a route removed', random => ({routes: base.routes.filter(({id}) => id !== pick(random, prefixes) as string)})],
	['all routes removed', () => ({routes: []})],
	['another service', random => changeRoutes({services: [{service: pick(random, services), weight: 1}]})],
	['a split', random => changeRoutes({services: services.map(service => ({service, weight: random()}))})],
	['a service removed', () => ({services: base.services.slice(1), routes: prefixes.map(prefix => createRoute(prefix, {services: [{service: services[1]!, weight: 1}]}))})],
	['health paths', random => ({services: services.map(id => serviceOf(id, {healthPath: pick(random, healthPaths)}))})],
	['connections', random => ({services: services.map(id => serviceOf(id, {maximumConnections: pick(random, [1, 100])}))})],
	['time limits', random => changeRoutes({timeout: pick(random, [lowTimeLimit, lowTimeLimit, timeLimit + 1000, 1e11])})],
	['gaps', random => changeRoutes({targetGap: pick(random, [50, 400, 5000]), targetLatency: pick(random, [50, 300, 5000])})],
	['attempts', random => changeRoutes({maximumAttempts: pick(random, [1, 2, 3])})],
	['kinds', random => changeRoutes({kind: pick(random, ['safe', 'unsafe', 'streaming'])})],
	['sizes', random => changeRoutes({sizes: pick(random, [[], models, models.slice(1)])})],
	['resumable', random => changeRoutes({isResumable: random() < 0.5, usesPromptCache: random() < 0.5, priority: pick(random, [0, 2])})],
	['idle times', random => changeLimits({idleTimeout: pick(random, [1, 100, 15_000, 3_600_000])})],
	['body bytes', random => changeLimits({bodyBytes: pick(random, [10, 1000, 8_388_608])})],
	['header bytes', random => changeLimits({headerBytes: pick(random, [100, 65_536]), headerTimeout: pick(random, [1, 3000])})],
	['a key revoked', () => ({workspaces: [{...base.workspaces![0]!, keys: ['k9']}]})],
	['another workspace', () => ({workspaces: [{...base.workspaces![0]!, id: toId('yards')}]})],
	['no keys needed', () => ({workspaces: undefined})],
	['many routes', () => ({routes: [...base.routes, ...Array.from({length: 5000}, (_value, index) => createRoute('plain', {id: toId<RouteId>(`r${index}`), pathPrefix: `/r${index}/`}))]})],
]);

/** Answers in all ways in which a server may, with a pause. */
async function answerRequest(message: IncomingMessage, response: ServerResponse, random: Random): Promise<void> {
	const {headers, url = '/', method = ''} = message;
	if (healthPaths.includes(url)) {
		response.writeHead(200, {server: String(headers.server)}).end();
		return;
	}

	for await (const _ of message) {
		// The body is read to its end.
	}

	response.setHeader('Attempt-Id', String(headers['attempt-id']));
	const pauses = Array.from({length: 3}, () => random() < 0.3 ? random() * longestPause : random() * 100);
	const isUnframed = random() < 0.2;
	if (isUnframed) {
		response.removeHeader('Transfer-Encoding');
	}

	if (isUnframed || random() < 0.1) {
		response.setHeader('Connection', 'close');
	}

	if (random() < 0.1) {
		response.writeHead(429).end();
		return;
	}

	if (random() < 0.2) {
		response.setHeader('confidence', random() * 100);
	}

	await delay(pauses[0]);
	if (/^\/(?:stream|print|model)\//v.test(url)) {
		for (const [index, event] of events.entries()) {
			if (index >= Number(headers['last-event-id'] ?? 0)) {
				response.write(event);
				await delay(pauses[index]);
			}
		}

		response.end();
		return;
	}

	const status = pick(random, [200, 200, 200, 204, 304, 500]);
	if (status === 200 && method !== 'HEAD') {
		if (!isUnframed) {
			response.setHeader('Content-Length', text.length);
		}

		response.write(text.slice(0, 5));
		await delay(pauses[1]);
		response.end(text.slice(5));
		return;
	}

	response.writeHead(status).end();
}

/** Draws the requests that are sent together on a connection. */
function drawRequests(random: Random, name: string): readonly RawCallerRequest[] {
	const count = pick(random, [1, 1, 1, 2, 4]);
	return Array.from({length: count}, (_value, index) => {
		const isLast = index === count - 1;
		const prefix = pick(random, prefixes);
		const hasBody = random() < 0.5;
		const bodyDelay = random() < 0.2 ? random() * 400 : 0;
		return {
			id: `${name}-${index}`,
			method: hasBody ? 'POST' : pick(random, ['GET', 'GET', 'HEAD']),
			target: `/${prefix}/${name}`,
			version: isLast && random() < 0.1 ? '1.0' : '1.1',
			...(hasBody && {body: 'x'.repeat(pick(random, [1, 500, 200_000])), isChunked: random() < 0.5, bodyDelay}),
			headers: {
				Key: 'k1',
				...(random() < 0.3 && {Model: '*'}),
				...(hasBody && random() < 0.2 && {Expect: '100-continue'}),
				...(random() < 0.1 && {Connection: 'upgrade', Upgrade: 'h2c'}),
				...(isLast && random() < 0.1 && {Connection: 'close'}),
			},
		} as const;
	});
}

type SentRequest = {
	readonly request: RawCallerRequest;
	readonly answer: RawCallerAnswer;
	readonly sentAt: number;
	readonly endedAt: number | undefined;
};

/** Uses one connection: sends requests together, reads the answers, and sends further ones while the connection may be used. */
async function useConnection(port: number, {random, name, idleTime}: {readonly random: Random; readonly name: string; readonly idleTime: () => number}): Promise<readonly SentRequest[]> {
	const caller = new RawCaller(port);
	await caller.connected();
	const sent: Array<{readonly request: RawCallerRequest; readonly sentAt: number}> = [];
	let answers: readonly RawCallerAnswer[] = [];
	for (let round = 0; round < 2; round++) {
		const requests = drawRequests(random, `${name}-${round}`);
		const sentAt = performance.now();
		sent.push(...requests.map(request => ({request, sentAt})));
		const keptFor = idleTime();
		await caller.send(requests);
		answers = await caller.answers(answerMilliseconds);
		// Callers keep an idle connection for the time that was in force when its last request arrived.
		await delay(Math.min(keptFor, random() * 2500));
		if (!caller.isOpen || answers.some(({isLast, isWhole}) => isLast || !isWhole) || requests.at(-1)!.headers?.Connection === 'close' || requests.at(-1)!.version === '1.0') {
			break;
		}
	}

	const {endedAt} = caller;
	caller.close();
	return sent.map((item, index) => ({...item, answer: answers[index]!, endedAt}));
}

async function play(t: ExecutionContext, seed: number): Promise<void> {
	const random = seededRandom(seed);
	const serverRandom = seededRandom(seed + 1000);
	const ports = await Promise.all(services.flatMap(() => Array.from({length: serversOfService}, async () => listen(t, (message, response) => {
		answerRequest(message, response, serverRandom).catch(() => response.destroy());
	}))));
	const ends = new Map<string, Array<Readonly<Record<string, unknown>>>>();
	const adoptions: Array<{readonly at: number; readonly limit: number}> = [{at: 0, limit: timeLimit}];
	/** The time limit of each version. */
	const limits = [timeLimit, timeLimit];
	let isRefused = false;
	const {port, metrics, changeConfiguration} = await startTestEntry(t, {
		records: ports.map((serverPort, index) => testServer({
			id: `server-${index}` as ServerId, port: serverPort, slots: 64, service: services[Math.floor(index / serversOfService)]!,
		})),
		...base,
		random: seededRandom(seed + 2000),
		onParse: () => isRefused ? failure('invalid-configuration', 'Refused by the test') : undefined,
		log(kind, fields) {
			if (kind === 'request-ended' || kind === 'request-refused') {
				const id = String(fields.request);
				ends.set(id, [...ends.get(id) ?? [], {kind, ...fields}]);
			} else if (kind === 'configuration-adopted') {
				adoptions.push({at: performance.now(), limit: limits[Number(fields.version)]!});
			}
		},
		dialect: {
			...plainDialect,
			readRequest: ({url = '', method = '', headers}) => testRequest({
				id: String(headers['attempt-id']), timeout: undefined, target: url, path: url, method, key: String(headers.key), choosesModel: headers.model === '*', headers: [],
			}),
			sendHeaders: ({id}, {model, lastEventId}) => [
				['Host', 'desk.example'], ['Attempt-Id', id], ['Model', model ?? 'none'], ...(lastEventId === undefined ? [] : [['Last-Event-Id', lastEventId] as const]),
			],
			readAnswer: (status, headers) => ({...plainDialect.readAnswer(status, headers), requestId: String(headers['attempt-id'])}),
		},
	});
	let {idleTimeout} = base.limits;
	const startedAt = performance.now();
	const connections: Array<Promise<readonly SentRequest[]>> = [];
	let changeCount = 0;
	const change = async (): Promise<void> => {
		while (performance.now() < startedAt + sendingMilliseconds) {
			// Several may come within one reply.
			for (let count = pick(random, [1, 1, 2]); count > 0; count--) {
				const changed = {...base, ...pick(random, [...changes.values()])(random)};
				isRefused = random() < 0.1;
				idleTimeout = changed.limits.idleTimeout;
				limits.push(changed.routes.some(({timeout}) => timeout < timeLimit) ? lowTimeLimit : timeLimit);
				changeConfiguration(changed);
				changeCount++;
			}

			await delay(random() * 2 * changeGap);
		}
	};

	const changing = change();
	const idleTime = (): number => idleTimeout / idleFactor;
	while (performance.now() < startedAt + sendingMilliseconds) {
		connections.push(useConnection(port, {random, name: `c${connections.length}`, idleTime}));
		await delay(random() * 2 * connectionGap);
	}

	await changing;
	const byConnection = await Promise.all(connections);
	const sent = byConnection.flat();
	/** Returns the shortest time limit that may apply to a request: of the configurations in force since it was sent. */
	const limitOf = ({sentAt, endedAt = Number.POSITIVE_INFINITY}: SentRequest): number => {
		const first = adoptions.findLastIndex(({at}) => at <= sentAt);
		return Math.min(...adoptions.slice(first).filter(({at}) => at <= endedAt).map(({limit}) => limit));
	};

	const isCutAtLimit = (sent: SentRequest): boolean => (ends.get(sent.request.id) ?? []).some(({outcome, reason, duration}) => outcome === 'broken-off'
		&& String(reason).startsWith('No server answered within') && Number(duration) >= limitOf(sent) - roundedMilliseconds);
	const describe = ({request: {id, method, target}, answer, sentAt, endedAt}: SentRequest): string => {
		const nearest = Math.min(...adoptions.map(({at}) => Math.abs(at - sentAt)));
		const end = `connection ended after ${((endedAt ?? Number.NaN) - sentAt).toFixed(0)} ms`;
		const part = `${id} ${method} ${target}: ${answer.status} ${answer.isWhole ? 'whole' : 'cut'}, ${nearest.toFixed(0)} ms beside a change`;
		return `${part}, ${end}, ${JSON.stringify(ends.get(id))}`;
	};

	// A stream can be broken off only with its connection, so that the requests behind it are not run.
	const faults = byConnection.flatMap(requests => {
		const cut = requests.findIndex(request => isCutAtLimit(request));
		const due = cut === -1 ? requests : requests.slice(0, cut);
		return due.filter(({request: {id}, answer}) => !answer.isWhole || ends.get(id)?.length !== 1).map(request => describe(request));
	});
	const count = (status: number): number => sent.filter(({answer}) => answer.status === status).length;
	const {values} = await metrics.closedConnections.get();
	const closed = values.filter(({labels: {reason}}) => reason !== 'idle');
	const broken = [...ends.values()].flat().filter(({outcome}) => outcome === 'broken-off').length;
	const statuses = [200, 401, 404, 413, 500, 502, 503, 504].map(status => `${count(status)} ${status}`).join(', ');
	t.log(`seed ${seed}: ${sent.length} requests on ${connections.length} connections beside ${changeCount} changes (${adoptions.length - 1} adopted)`);
	t.log(`${statuses}, ${broken} broken off; closed ${JSON.stringify(values.map(({value, labels}) => [labels.reason, value]))}`);
	t.deepEqual(faults, []);
	t.deepEqual(closed, []);
	t.true(count(200) > 0);
}

for (const seed of seeds) {
	test.serial(`every whole request beside changes of the configuration is answered or refused, seed ${seed}`, async t => {
		t.timeout(60_000);
		await play(t, seed);
	});
}
