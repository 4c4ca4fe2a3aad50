import {setTimeout as delay} from 'node:timers/promises';
import {
	failure, type InstanceId, type ServerId, type ServiceId, toId,
} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {testConfiguration, testRoute} from '../configuration/_test-configuration.js';
import {type Route, type RouteId, type RoutingConfiguration} from '../configuration/routing-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {startTestEntry} from './_test-entry-instance.js';
import {RawCaller, type RawCallerAnswer} from './_test-raw-caller.js';
import {testRequest} from './_test-request.js';
import {listen, plainDialect} from './_test-run.js';

/** The time limit of the requests, in milliseconds. */
const timeLimit = 16_000;
/** How long another instance takes to reply that it has no sends, in milliseconds. */
const borrowMilliseconds = 800;
/** When the rest of a body follows its head, in milliseconds. */
const bodyDelay = 800;
/** The interval at which the test looks whether the requests wait, and the time between two changes, in milliseconds. */
const pollMilliseconds = 20;
const changeGap = 100;
/** Far less than the time limit. */
const answerMilliseconds = 5000;
/** The work at the busy server, in milliseconds. */
const busyWork = 3000;
const model = toId<never>('small');
/** What the requests wait for, with the service of each wait. */
const waits = ['held', 'limited', 'absent', 'body', 'behind'] as const;

type Wait = typeof waits[number];

function serviceOf(wait: Wait): ServiceId {
	return toId<ServiceId>(wait === 'body' || wait === 'behind' ? 'labels' : wait);
}

function createRoute(wait: Wait, changes: Partial<Route> = {}): Route {
	return testRoute({
		id: toId<RouteId>(wait),
		pathPrefix: `/${wait}/`,
		timeout: timeLimit,
		targetLatency: 6000,
		sizes: wait === 'held' ? [model] : [],
		services: [{service: serviceOf(wait), weight: 1}],
		...changes,
	});
}

/** More urgent than the held request, so that it is held. */
const urgentRoute = createRoute('held', {
	id: toId<RouteId>('urgent'), pathPrefix: '/urgent/', priority: 0, targetLatency: 1000,
});
const base = {
	...testConfiguration(),
	routes: [...waits.map(wait => createRoute(wait)), urgentRoute],
	services: ['held', 'limited', 'absent', 'labels'].map(id => ({id: toId<ServiceId>(id), maximumConnections: 100, models: [{id: model, cost: 1}]})),
};

type Change = Partial<Omit<RoutingConfiguration, 'version'>>;

function changeRoutes(changes: Partial<Route>): Change {
	return {routes: [...waits.map(wait => createRoute(wait, changes)), urgentRoute]};
}

const labels = [{service: toId<ServiceId>('labels'), weight: 1}];
/** The changes that come one after the other; undefined stands for a configuration that cannot be read. */
const changes: ReadonlyMap<string, ReadonlyArray<Change | undefined>> = new Map<string, ReadonlyArray<Change | undefined>>([
	['all routes removed', [{routes: []}]],
	['all routes removed and added again', [{routes: []}, base]],
	['all routes under other names', [{routes: base.routes.map(route => ({...route, id: toId<RouteId>(`other-${route.id}`)}))}]],
	['all routes to another service', [changeRoutes({services: labels})]],
	['the services removed', [{...changeRoutes({services: labels}), services: base.services.slice(-1)}]],
	['to another service and back', [changeRoutes({services: labels}), base]],
	['the models removed', [{...changeRoutes({sizes: []}), services: base.services.map(service => ({...service, models: []}))}]],
	['the urgent route removed', [{routes: base.routes.slice(0, -1)}]],
	['a time limit that is over already', [changeRoutes({id: toId<RouteId>('short'), pathPrefix: '/', timeout: 100}), base]],
	['a shorter time limit of other routes', [{routes: base.routes.map(route => ({...route, id: toId<RouteId>(`other-${route.id}`), timeout: 100}))}]],
	['the key revoked', [{workspaces: [{...base.workspaces![0]!, keys: ['k9']}]}]],
	['another workspace', [{workspaces: [{...base.workspaces![0]!, id: toId('yards')}]}]],
	['no keys needed', [{workspaces: undefined}]],
	['a smaller body', [{limits: {...base.limits, bodyBytes: 1}}]],
	['a shorter idle time', [{limits: {...base.limits, idleTimeout: 1}}]],
	['a configuration that cannot be read', [undefined]],
]);

async function send(port: number, wait: Wait): Promise<RawCallerAnswer | undefined> {
	const caller = new RawCaller(port);
	await caller.connected();
	const request = {
		id: wait, method: 'GET', target: `/${wait}/7`, headers: {Key: 'k1'},
	};
	const before = wait === 'behind' ? [{...request, id: 'before', target: '/behind/slow'}] : [];
	const late = {method: 'POST', body: 'label', bodyDelay};
	await caller.send([...before, {...request, ...(wait === 'body' && late)}]);
	const answers = await caller.answers(answerMilliseconds);
	caller.close();
	return answers.at(-1);
}

async function play(t: ExecutionContext, steps: ReadonlyArray<Change | undefined>): Promise<void> {
	const port = await listen(t, (message, response) => {
		message.resume();
		response.setHeader('Attempt-Id', String(message.headers['attempt-id']));
		setTimeout(() => {
			response.end('done');
		}, message.url === '/behind/slow' ? bodyDelay : 0);
	});
	const ends = new Map<string, Array<Readonly<Record<string, unknown>>>>();
	let isRefused = false;
	let borrows = 0;
	const {port: entryPort, metrics, changeConfiguration} = await startTestEntry(t, {
		...base,
		records: (['held', 'limited', 'labels'] as const).map(id => testServer({id: toId<ServerId>(`server-${id}`), service: toId<ServiceId>(id), port})),
		entryCount: 8,
		work: {rows: [['server-held' as ServerId, busyWork, 4, 0, 0]], held: [], age: 0},
		peers: ['10.0.1.2' as InstanceId],
		serverLimits: [{server: 'server-limited' as ServerId, requestsPerSecond: 0.01, age: 0}],
		async askForSends() {
			borrows++;
			await delay(borrowMilliseconds);
			return undefined;
		},
		onParse: () => isRefused ? failure('invalid-configuration', 'Refused by the test') : undefined,
		log(kind, fields) {
			if (kind === 'request-ended' || kind === 'request-refused') {
				const id = String(fields.request);
				ends.set(id, [...ends.get(id) ?? [], {kind, ...fields}]);
			}
		},
		dialect: {
			...plainDialect,
			readRequest: ({url = '', method = '', headers}) => testRequest({
				id: String(headers['attempt-id']), timeout: timeLimit, target: url, path: url, method, key: String(headers.key), choosesModel: url.startsWith('/held/'), inputTokens: 100, headers: [],
			}),
			sendHeaders: ({id}) => [['Host', 'desk.example'], ['Attempt-Id', id]],
			readAnswer: (status, headers) => ({...plainDialect.readAnswer(status, headers), requestId: String(headers['attempt-id'])}),
		},
	});
	// The first request tells the instance that the busy server has work.
	await send(entryPort, 'behind');
	ends.clear();
	const sent = Promise.all(waits.map(async wait => send(entryPort, wait)));
	const areWaiting = async (): Promise<boolean> => {
		const {values: [held]} = await metrics.heldRequests.get();
		return borrows > 0 && held?.value === 1;
	};

	while (!await areWaiting()) {
		await delay(pollMilliseconds);
	}

	const early = [...ends.keys()];
	for (const step of steps) {
		isRefused = step === undefined;
		changeConfiguration({...base, ...step});
		await delay(changeGap);
	}

	const answers = await sent;
	const outcomes = waits.map((wait, index) => `${wait}: ${answers[index]?.status} ${answers[index]?.isWhole === true ? 'whole' : 'cut'}, ${ends.get(wait)?.length} end`);
	t.log(`${outcomes.join('; ')}; ended before the change: ${early.join(', ') || 'none'}`);
	t.deepEqual(outcomes.filter(outcome => !outcome.includes('whole, 1 end')), []);
}

for (const [name, steps] of changes) {
	test.serial(`requests that wait are answered or refused beside a change of the configuration: ${name}`, async t => {
		await play(t, steps);
	});
}
