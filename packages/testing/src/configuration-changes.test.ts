import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {type IncomingMessage, request as openRequest} from 'node:http';
import {text as readText} from 'node:stream/consumers';
import test, {type ExecutionContext} from 'ava';
import {draftConfiguration, draftHost} from './platform/draft-configuration.js';
import {type ExecutedRequest, type FakeBackendResponse} from './platform/fake-backend-server.js';
import {PlatformDeployment, type PlatformInstance} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {startBackends} from './platform/start-backends.js';
import {waitUntil} from './wait-until.js';

const [draftRoute] = draftConfiguration.routes;
const plainRoute = {
	host: draftHost, timeoutMs: 30_000, targetLatencyMs: 15_000, maxAttempts: 2, service: 'labels', public: false,
};
const routes = [
	{...draftRoute!, timeoutMs: 30_000, targetLatencyMs: 15_000},
	{
		...plainRoute, name: 'look', pathPrefix: '/look/', kind: 'safe',
	},
	{
		...plainRoute, name: 'print', pathPrefix: '/print/', kind: 'unsafe',
	},
];
const otherRoute = {
	...plainRoute, name: 'other', pathPrefix: '/other/', kind: 'safe', service: 'others',
};
const configuration = {...draftConfiguration, routes, services: [...draftConfiguration.services, {name: 'labels'}, {name: 'others'}]};
const half = 'x'.repeat(1000);
const body = half + half;
const paths = ['/drafts/7', '/look/7', '/print/7'];
const framings: ReadonlyArray<Readonly<Record<string, string>>> = [{'Content-Length': String(body.length)}, {'Transfer-Encoding': 'chunked'}];
/** All requests of a change are sent again, which the usual retry budget does not allow in each window. */
const bounds = {
	graceS: 5, revokeMs: 5000, canaryShare: 0.15, retryBudgetRatio: 4, sessionS: 5,
};
const ok = 200;
const unauthenticated = 401;
const notFound = 404;
const failed = 500;

/** Changes of the configuration, and the status of requests that they meet before their first send. */
const changes: ReadonlyArray<readonly [name: string, changed: Readonly<Record<string, unknown>>, status: number]> = [
	['the limit of bodies falls', {limits: {...configuration.limits, maxBodyBytes: 10}}, ok],
	['the time limits fall', {routes: routes.map(route => ({...route, timeoutMs: 1, targetLatencyMs: 1}))}, ok],
	['the routes are removed', {routes: [otherRoute]}, notFound],
	['the routes move to another service', {routes: routes.map(route => ({...route, service: 'others'}))}, ok],
	['the services are removed', {routes: [otherRoute], services: [{name: 'others'}]}, notFound],
	['the routes offer no models and are unsafe', {routes: routes.map(route => ({...route, kind: 'unsafe', sizes: []}))}, ok],
	['the key is revoked', {tenants: [{name: 'mills', apiKeys: ['k9'], priority: 1}]}, unauthenticated],
	['the workspace is removed', {tenants: [{name: 'yards', apiKeys: ['k2'], priority: 1}]}, unauthenticated],
	['1000 routes are added', {routes: [...routes, ...Array.from({length: 1000}, (_, index) => ({...otherRoute, name: `m${index}`, pathPrefix: `/m${index}/`}))]}, ok],
];

type BegunRequest = {
	/** Sends the second half of the body; returns the status of the whole response. */
	readonly finish: () => Promise<number>;
};

/** Sends the first half of a request's body. */
async function begin(address: string, {id, path, framing}: {readonly id: string; readonly path: string; readonly framing: Readonly<Record<string, string>>}): Promise<BegunRequest> {
	const [host, port] = address.split(':');
	const outgoing = openRequest({
		host, port, method: 'POST', path, agent: false, headers: {
			Host: draftHost, 'Attempt-Id': id, 'Deadline-Ms': '30000', Authorization: 'Bearer k1', ...framing,
			...(path.startsWith('/drafts/') && {Model: '*', 'Token-Usage': '100,20', 'Prompt-Prefix': '1:50,2:50'}),
		},
	});
	const response = once(outgoing, 'response') as Promise<[IncomingMessage]>;
	// A lost connection is an error of the test once it waits for the response.
	response.catch(() => undefined);
	await new Promise(resolve => {
		outgoing.write(half, resolve);
	});
	return {
		async finish() {
			outgoing.end(half);
			const [message] = await response;
			await readText(message);
			return message.complete ? message.statusCode ?? 0 : 0;
		},
	};
}

async function hasAdopted({process: {logFile}}: PlatformInstance, version: number): Promise<boolean> {
	const log = await readFile(logFile, 'utf8');
	return log.includes(`"kind":"configuration-adopted","version":${version},`);
}

type Started = {
	readonly runs: () => readonly ExecutedRequest[];
	/** Submits a configuration, and waits until the entry instance has adopted it. */
	readonly put: (changed: Readonly<Record<string, unknown>>) => Promise<void>;
	/** Sends the first halves of requests of all kinds. */
	readonly beginAll: () => Promise<readonly BegunRequest[]>;
};

async function start(t: ExecutionContext, answer: (run: ExecutedRequest) => Promise<FakeBackendResponse>): Promise<Started> {
	const deployment = await PlatformDeployment.start({entryCount: 1, settings: {bounds}});
	const entry = deployment.entries[0]!;
	const backends = await startBackends(t, {
		deployment, servers: ['models', 'labels', 'others'].flatMap(service => ['1', '2'].map(number => ({id: `${service}-${number}`, service, answer}))),
	});
	let version = 0;
	let requests = 0;
	const started: Started = {
		runs: () => backends.flatMap(backend => backend.runs),
		async put(changed) {
			version++;
			await putConfiguration(deployment, {...configuration, ...changed, version});
			await waitUntil(async () => await hasAdopted(entry, version) || undefined, {description: `configuration ${version} at the entry instance`});
		},
		beginAll: async () => Promise.all(paths.flatMap(path => framings.map(async framing => begin(entry.address, {id: `a${++requests}`, path, framing})))),
	};
	await started.put({});
	await waitUntil(async () => {
		const statuses = await finishAll(await started.beginAll());
		return statuses.every(status => status === ok) || undefined;
	}, {description: 'first responses'});
	return started;
}

async function finishAll(requests: readonly BegunRequest[]): Promise<readonly number[]> {
	return Promise.all(requests.map(async ({finish}) => finish()));
}

test.serial('requests that wait for their bodies beside a change of the configuration all end whole', async t => {
	const {runs, put, beginAll} = await start(t, async () => ({confidence: 90}));
	for (const [name, changed, status] of changes) {
		const requests = await beginAll();
		await put(changed);
		t.deepEqual(await finishAll(requests), requests.map(() => status), `when ${name}`);
		await put({});
	}

	t.true(runs().every(run => run.body === body));
	t.is(new Set(runs().map(({id}) => id)).size, runs().length);
});

test.serial('requests whose first run fails after a change of the configuration all end whole', async t => {
	const failing = new Set<string>();
	let change: Promise<void> | undefined;
	const {put, beginAll} = await start(t, async ({id}) => {
		if (change === undefined || failing.has(id)) {
			return {confidence: 90};
		}

		failing.add(id);
		await change;
		return {status: failed};
	});
	for (const [name, changed] of changes) {
		failing.clear();
		let markChanged: (() => void) | undefined;
		change = new Promise(resolve => {
			markChanged = resolve;
		});
		const requests = await beginAll();
		const statuses = finishAll(requests);
		await waitUntil(async () => failing.size === requests.length || undefined, {description: 'all first runs'});
		await put(changed);
		markChanged?.();
		// Safe requests and streams are sent again, whatever a configuration that came after them says.
		const expected = paths.flatMap(path => framings.map(() => path.startsWith('/print/') ? failed : ok));
		t.deepEqual(await statuses, expected, `when ${name}`);
		change = undefined;
		await put({});
	}
});

test.serial('a request whose key moves to another workspace before its first send is repeated for the same workspace', async t => {
	const failing = new Set<string>();
	let isChanged = false;
	const {runs, put, beginAll} = await start(t, async ({id}) => {
		if (!isChanged || failing.has(id)) {
			return {confidence: 90};
		}

		failing.add(id);
		return {status: failed};
	});
	const requests = await beginAll();
	isChanged = true;
	await put({tenants: [{name: 'movers', apiKeys: ['k1'], priority: 1}]});
	await finishAll(requests);
	const repeated = runs().filter(({id}) => failing.has(id));
	t.true(repeated.length > requests.length);
	t.deepEqual(new Set(repeated.map(({workspace}) => workspace)), new Set(['movers']));
});
