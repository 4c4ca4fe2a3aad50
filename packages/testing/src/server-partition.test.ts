import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {type BackendProcess, type ProcessRun} from './platform/backend-process.js';
import {sendForResponse} from './platform/fake-backend-server.js';
import {PlatformDeployment, type PlatformInstance} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {
	cutServerLinks, restoreServerLinks, serverCutEnvironment, type ServerCut,
} from './platform/server-cut.js';
import {startBackendProcesses} from './platform/start-backend-processes.js';
import {waitUntil} from './wait-until.js';

const route = {
	host: 'desk.example', timeoutMs: 2000, targetLatencyMs: 500, service: 'labels', maxAttempts: 2, public: true,
};
const configuration = {
	version: 1,
	routes: [
		{
			...route, name: 'look', pathPrefix: '/look/', kind: 'safe',
		},
		{
			...route, name: 'print', pathPrefix: '/print/', kind: 'unsafe',
		},
		{
			...route, name: 'note', pathPrefix: '/note/', kind: 'unsafe', timeoutMs: 1000,
		},
		{
			...route, name: 'tag', pathPrefix: '/tag/', kind: 'streaming', resumable: true, timeoutMs: 8000, targetGapMs: 1000,
		},
		{
			...route, name: 'record', pathPrefix: '/record/', kind: 'safe', service: 'records',
		},
		{
			...route, name: 'trace', pathPrefix: '/trace/', kind: 'streaming', timeoutMs: 8000, targetGapMs: 1000, service: 'records',
		},
		{
			...route, name: 'seal', pathPrefix: '/seal/', kind: 'unsafe', service: 'seals',
		},
	],
	services: [{name: 'labels'}, {name: 'records'}, {name: 'seals'}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tenants: [{name: 'mills', apiKeys: ['k1'], priority: 1}],
};
const zones = ['hall-a', 'hall-b', 'hall-c'];
/** The zones of the servers of each service. */
const services: Readonly<Record<string, readonly string[]>> = {labels: zones, records: zones, seals: zones.slice(0, 1)};
/** The time after the beginning of a cut from which callers must be served as elsewhere, in milliseconds. */
const connectivityMilliseconds = 3000;
const measuredMilliseconds = 2000;
const sendMilliseconds = 100;
/** One request of each kind. */
const requestsEach = [
	{method: 'GET', path: '/look/7'}, {method: 'POST', path: '/print/7'}, {method: 'POST', path: '/tag/7'}, {method: 'GET', path: '/record/7'},
];

type Started = {
	readonly deployment: PlatformDeployment;
	readonly backends: readonly BackendProcess[];
	/** Sends a request, and returns its status; 0 if the answer was not complete. */
	readonly send: (address: string, request: {readonly method: string; readonly path: string}) => Promise<number>;
	/** Sends a request of each kind through each of some instances at a steady rate for a time in milliseconds, and returns their statuses. */
	readonly sendFor: (duration: number, entries: readonly PlatformInstance[]) => Promise<readonly number[]>;
};

type StartOptions = {
	/** The time between two events, in milliseconds; 10 by default. */
	readonly gap?: number;
	/** The number of events of the service of records; 3 by default. */
	readonly recordEvents?: number;
	/** The number of entry instances; 3 by default. */
	readonly entryCount?: number;
	/** Returns the availability zone of an entry instance, by its position; all are in the first one by default. */
	readonly entryZone?: (index: number) => string;
	/** Whether answers end with their connections; false by default. */
	readonly isUnframed?: boolean;
};

/** Returns the requests that servers have executed so far. */
async function readRuns(backends: readonly BackendProcess[]): Promise<readonly ProcessRun[]> {
	const runs = await Promise.all(backends.map(async backend => backend.readRuns()));
	return runs.flat();
}

/** Starts entry instances with a server in each zone, each server in a process of its own, and waits until all of them serve requests. */
async function start(t: ExecutionContext, {gap = 10, recordEvents = 3, entryCount = 3, entryZone = () => zones[0]!, isUnframed = false}: StartOptions = {}): Promise<Started> {
	const deployment = await PlatformDeployment.start({entryCount, entryZone, environment: instance => serverCutEnvironment(instance)});
	const backends = await startBackendProcesses(t, {
		deployment, servers: Object.entries(services).flatMap(([service, serverZones]) => serverZones.map(zone => ({
			id: `i-${service}-${zone}`, service, zone, answer: {events: service === 'records' ? Array.from({length: recordEvents}, String) : ['one', 'two', 'three'], gap, isUnframed},
		}))),
	});
	await putConfiguration(deployment, configuration);
	let requests = 0;
	const send: Started['send'] = async (address, {method, path}) => {
		requests++;
		const {status, isComplete} = await sendForResponse({
			method, address, path, headers: {Host: 'desk.example', 'Attempt-Id': `a${requests}`, 'Deadline-Ms': '2000'},
		});
		return isComplete ? status : 0;
	};

	for (const {address} of deployment.entries) {
		await waitUntil(async () => await send(address, {method: 'GET', path: '/look/7'}) === 200 || undefined, {description: 'a first response'});
	}

	return {
		deployment,
		backends,
		send,
		async sendFor(duration, entries) {
			const statuses: Array<Promise<number>> = [];
			const endsAt = performance.now() + duration;
			while (performance.now() < endsAt) {
				for (const {address} of entries) {
					statuses.push(...requestsEach.map(async request => send(address, request)));
				}

				await delay(sendMilliseconds);
			}

			return Promise.all(statuses);
		},
	};
}

type CutOptions = {
	readonly cut: ServerCut;
	/** The number of instances that are cut off. */
	readonly count: number;
	/** The service whose servers they do not reach; all by default. */
	readonly service?: string;
};

/** Cuts instances from all servers, or those of a service, and checks that their callers are served like those of the others, and that nothing runs twice. */
async function assertServedBehindCut(t: ExecutionContext, {cut, count, service, ...options}: StartOptions & CutOptions): Promise<Started> {
	const started = await start(t, options);
	const {deployment, backends, sendFor} = started;
	const cutEntries = deployment.entries.slice(0, count);
	const ports = backends.filter(backend => service === undefined || backend.service === service).map(({port}) => port);
	await Promise.all(cutEntries.map(async entry => cutServerLinks(entry, cut, {ports})));
	await sendFor(connectivityMilliseconds, deployment.entries);
	const statuses = await sendFor(measuredMilliseconds, cutEntries);
	t.deepEqual(new Set(statuses), new Set([200]), `${statuses.filter(status => status === 200).length} of ${statuses.length} requests were served`);
	const runs = await readRuns(backends);
	const prints = runs.filter(({path}) => path.startsWith('/print/')).map(({id}) => id);
	t.is(new Set(prints).size, prints.length);
	return started;
}

test.serial('an instance that is refused by all servers, which the others reach, serves its callers', async t => {
	await assertServedBehindCut(t, {cut: 'refused', count: 1});
});

test.serial('two of three instances whose connections to all servers hang serve their callers', async t => {
	await assertServedBehindCut(t, {cut: 'silent', count: 2});
});

test.serial('an instance whose new connections to all servers are refused while open ones go on serves its callers, and goes back to its own links', async t => {
	const {deployment, sendFor} = await assertServedBehindCut(t, {cut: 'open-kept', count: 1});
	const [entry, ...others] = deployment.entries;
	await restoreServerLinks(entry!);
	await Promise.all(others.map(async ({process}) => process.kill('SIGKILL')));
	await waitUntil(async () => {
		const statuses = await sendFor(sendMilliseconds, [entry!]);
		return statuses.every(status => status === 200) || undefined;
	}, {description: 'an instance that serves by its own links'});
});

/** More instances of one availability zone than an instance shares its load with, and two of another one. */
const zoneOptions: StartOptions & Pick<CutOptions, 'count'> = {
	count: 8, entryCount: 10, entryZone: index => index < 8 ? zones[0]! : zones[1]!,
};

test.serial('all instances of an availability zone that are refused by all servers, which the other zones reach, serve their callers', async t => {
	await assertServedBehindCut(t, {cut: 'refused', ...zoneOptions});
});

test.serial('all instances of an availability zone whose connections to all servers hang serve their callers', async t => {
	await assertServedBehindCut(t, {cut: 'silent', ...zoneOptions});
});

test.serial('instances that are refused by all servers of one service, and reach those of another, serve their callers', async t => {
	await assertServedBehindCut(t, {
		cut: 'refused', count: 3, entryCount: 7, service: 'labels',
	});
});

test.serial('instances whose connections to all servers of one service hang, and which reach those of another, serve their callers', async t => {
	await assertServedBehindCut(t, {
		cut: 'silent', count: 3, entryCount: 7, service: 'labels',
	});
});

test.serial('calls that may not be repeated are served behind a cut from the only server of their service', async t => {
	const {deployment, backends, send} = await start(t);
	const [entry] = deployment.entries;
	const seals = backends.find(({service}) => service === 'seals');
	const seal = {method: 'POST', path: '/seal/7'};
	await waitUntil(async () => await send(entry!.address, seal) === 200 || undefined, {description: 'a first response'});
	await cutServerLinks(entry!, 'refused', {ports: [seals!.port]});
	const before = await seals!.readRuns();
	const statuses: number[] = [];
	for (let index = 0; index < 20; index++) {
		statuses.push(await send(entry!.address, seal));
	}

	t.deepEqual(new Set(statuses), new Set([200]), `${statuses.filter(status => status === 200).length} of ${statuses.length} requests were served`);
	const after = await seals!.readRuns();
	t.is(after.length, before.length + statuses.length);
});

test.serial('an instance that reaches no server serves its callers through one that does not answer for most servers', async t => {
	const {deployment, backends, sendFor} = await start(t, {entryCount: 2});
	const [entry, relay] = deployment.entries;
	const lost = backends.filter(({service}) => service === route.service).slice(1);
	await cutServerLinks(relay!, 'silent', {ports: lost.map(({port}) => port)});
	await cutServerLinks(entry!, 'refused');
	await sendFor(connectivityMilliseconds, deployment.entries);
	const statuses = await sendFor(measuredMilliseconds, [entry!]);
	t.deepEqual(new Set(statuses), new Set([200]), `${statuses.filter(status => status === 200).length} of ${statuses.length} requests were served`);
});

test.serial('requests in progress at an instance that loses its links are not suspected of ending their servers', async t => {
	const {deployment, backends, send} = await start(t, {gap: 400});
	const [entry, other] = deployment.entries;
	const print = {method: 'POST', path: '/print/7'};
	const sent = Array.from({length: 12}, async () => send(entry!.address, print));
	const printers = backends.filter(({service}) => service === route.service);
	await waitUntil(async () => {
		const runs = await Promise.all(printers.map(async printer => printer.readRuns()));
		return runs.every(runsOfOne => runsOfOne.some(({path}) => path === print.path)) || undefined;
	}, {description: 'a request in progress at each server'});
	await cutServerLinks(entry!, 'refused');
	const statuses = await Promise.all(sent);
	t.false(statuses.includes(503));
	t.is(await send(other!.address, print), 200);
	const {text} = await sendForResponse({
		method: 'GET', address: deployment.controls[0]!.address, path: '/-/quarantine', headers: {},
	});
	t.deepEqual(JSON.parse(text), {requests: []});
});

test.serial('an answer without a length does not look complete when the instance through which it comes exits', async t => {
	const {deployment, backends, send} = await start(t, {gap: 400, entryCount: 2, isUnframed: true});
	const [entry, relay] = deployment.entries;
	await cutServerLinks(entry!, 'refused');
	await waitUntil(async () => await send(entry!.address, {method: 'GET', path: '/look/8'}) === 200 || undefined, {description: 'a response through the other instance'});
	const print = {method: 'POST', path: '/print/7'};
	const sent = send(entry!.address, print);
	await waitUntil(async () => {
		const runs = await readRuns(backends);
		return runs.some(({path}) => path === print.path) || undefined;
	}, {description: 'a request in progress'});
	await delay(500);
	await relay!.process.kill('SIGKILL');
	t.not(await sent, 200);
});

test.serial('a stopping instance answers a request that arrives while it waits for the connections of others through it', async t => {
	const {deployment, backends, send} = await start(t, {gap: 200, recordEvents: 30, entryCount: 2});
	const [entry, relay] = deployment.entries;
	await cutServerLinks(entry!, 'refused');
	await waitUntil(async () => await send(entry!.address, {method: 'GET', path: '/look/8'}) === 200 || undefined, {description: 'a response through the other instance'});
	const held = sendForResponse({
		method: 'POST', address: entry!.address, path: '/trace/8', headers: {Host: 'desk.example', 'Attempt-Id': 'held', 'Deadline-Ms': '8000'},
	});
	await waitUntil(async () => {
		const runs = await readRuns(backends);
		return runs.some(({path}) => path === '/trace/8') || undefined;
	}, {description: 'a stream through the other instance'});
	relay!.process.signal('SIGTERM');
	// By then, the load balancer sends it no more callers.
	await delay(2700);
	const note = {method: 'POST', path: '/note/9'};
	const sent = send(relay!.address, note);
	await waitUntil(async () => {
		const runs = await readRuns(backends);
		return runs.some(({path}) => path === note.path) || undefined;
	}, {description: 'a request in progress'});
	await entry!.process.kill('SIGKILL');
	t.is(await sent, 200);
	const {isComplete} = await held;
	t.false(isComplete);
});
