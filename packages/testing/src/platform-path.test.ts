import {connect} from 'node:net';
import {type InstanceId} from '@valehitch/core';
import {PeerNetwork} from '@valehitch/transport';
import test, {type ExecutionContext} from 'ava';
import {
	sendForResponse, type FakeBackendServer, type FakeBackendServerOptions, sendForStatus, type ReceivedResponse,
} from './platform/fake-backend-server.js';
import {PlatformDeployment, type PlatformDeploymentOptions} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {startAll} from './platform/start-all.js';
import {startBackends} from './platform/start-backends.js';
import {waitUntil} from './wait-until.js';

const host = 'desk.example';
const limits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

function configuration(version: number, keys: readonly string[] = ['k1']) {
	const plain = {
		host, timeoutMs: 2000, targetLatencyMs: 500, service: 'labels', public: false,
	};
	return {
		version,
		routes: [
			{
				...plain,
				name: 'drafts',
				pathPrefix: '/drafts/',
				kind: 'streaming',
				timeoutMs: 8000,
				targetLatencyMs: 4000, targetGapMs: 3000, sizes: ['small', 'middle', 'large'], service: 'models', maxAttempts: 3, sticky: true, resumable: true,
			},
			{
				...plain, name: 'print', pathPrefix: '/print/', kind: 'unsafe', maxAttempts: 1,
			},
			{
				...plain, name: 'look', pathPrefix: '/look/', kind: 'safe', maxAttempts: 2,
			},
			{
				...plain, name: 'open', pathPrefix: '/open/', kind: 'safe', maxAttempts: 2, public: true,
			},
		],
		services: [{name: 'models', engine: {models: [{name: 'small', cost: 0.01}, {name: 'large', cost: 0.3}]}}, {name: 'labels'}],
		limits,
		tenants: [{name: 'mills', apiKeys: keys, priority: 1}],
	};
}

let attempts = 0;

/** Sends a request through the first entry instance. */
async function send(deployment: PlatformDeployment, path: string, headers: Readonly<Record<string, string>> = {}): Promise<ReceivedResponse> {
	attempts++;
	return sendForResponse({
		method: path.startsWith('/look/') || path.startsWith('/open/') ? 'GET' : 'POST', address: deployment.entries[0]!.address, path, headers: {
			Host: host,
			'Attempt-Id': `a${attempts}`,
			'Deadline-Ms': '8000', Authorization: 'Bearer k1', ...(path.startsWith('/drafts/') && {Model: '*', 'Token-Usage': '100,20', 'Prompt-Prefix': '1:50,2:50'}), ...headers,
		},
	});
}

type Started = {
	readonly deployment: PlatformDeployment;
	readonly backends: readonly FakeBackendServer[];
};

/** Starts a deployment with backend servers and configuration 1, and waits until it serves requests. */
async function start(t: ExecutionContext, {servers, ...size}: PlatformDeploymentOptions & {readonly servers: ReadonlyArray<Omit<FakeBackendServerOptions, 'host'>>}): Promise<Started> {
	const deployment = await PlatformDeployment.start(size);
	const backends = await startBackends(t, {deployment, servers});
	await putConfiguration(deployment, configuration(1));
	await waitUntil(async () => {
		const answer = await send(deployment, '/look/first/');
		return answer.status === 200 || undefined;
	}, {description: 'a first response'});
	return {deployment, backends};
}

const labels = {id: 'i-labels', service: 'labels', answer: () => ({events: ['printed']})};

test('requests of each kind are served by the required model or refused with the right status', async t => {
	const models = {
		id: 'i-models', service: 'models', answer: ({model}: {readonly model: string | undefined}) => ({confidence: model === 'small' ? 20 : 90, events: [`by ${model}`, 'end']}),
	};
	const {deployment, backends} = await start(t, {servers: [labels, models]});
	const draft = await waitUntil(async () => {
		const answer = await send(deployment, '/drafts/7');
		return answer.status === 200 ? answer : undefined;
	}, {description: 'a draft'});
	t.is(draft.text, 'id: 1\ndata: by large\n\nid: 2\ndata: end\n\n');
	t.true(draft.isComplete);
	t.deepEqual(backends[1]!.runs.map(({model}) => model), ['small', 'large']);
	t.like(backends[1]!.runs[0], {workspace: 'mills'});
	t.like(await send(deployment, '/print/7'), {status: 200, text: 'printed'});
	t.like(await send(deployment, '/print/7', {Authorization: 'Bearer other'}), {status: 401});
	t.like(await send(deployment, '/none/7'), {status: 404});
	t.like(await send(deployment, '/open/7', {Authorization: ''}), {status: 200});
});

test('a stream that breaks in the middle of an event is resumed on another server without duplicate events', async t => {
	const events = ['one', 'two', 'three', 'four'];
	const broken = {id: 'i-1', service: 'models', answer: () => ({confidence: 90, events, breakAfter: 2})};
	const {deployment, backends} = await start(t, {servers: [labels, broken, {...broken, id: 'i-2'}]});
	const completeText = events.map((event, index) => `id: ${index + 1}\ndata: ${event}\n\n`).join('');
	const first = await send(deployment, '/drafts/7');
	// Both servers break after two events, so the second one, which resumes after the second event, breaks at once.
	t.is(first.text, completeText.slice(0, first.text.length));
	t.false(first.isComplete);
	const last = backends.flatMap(({runs}) => runs).find(({lastEventId}) => lastEventId !== undefined);
	t.is(last?.lastEventId, '2');
});

test('an unsafe request that was sent is never resent, and its outcome is not reported as not run', async t => {
	const broken = {id: 'i-labels', service: 'labels', answer: ({path}: {readonly path: string}) => path.startsWith('/print/') ? {breakAfter: 0} : {}};
	const {deployment, backends} = await start(t, {servers: [broken, {...broken, id: 'i-other'}]});
	const answer = await send(deployment, '/print/7');
	t.is(answer.status, 502);
	t.is(backends.flatMap(({runs}) => runs).filter(({path}) => path.startsWith('/print/')).length, 1);
});

test('a draining server gets no new requests once any control instance has acknowledged the draining', async t => {
	const {deployment, backends} = await start(t, {servers: [labels, {...labels, id: 'i-other'}]});
	t.is(await backends[0]!.announce(deployment.controls[2]!.address, 'draining'), 200);
	const before = backends[0]!.runs.length;
	for (let index = 0; index < 10; index++) {
		const answer = await send(deployment, '/look/7');
		t.is(answer.status, 200);
	}

	t.is(backends[0]!.runs.length, before);
});

test('an acknowledged configuration survives the crash of all control instances, and is not replaced by an older one', async t => {
	const {deployment} = await start(t, {servers: [labels]});
	await putConfiguration(deployment, configuration(9, ['k1', 'k2']));
	await Promise.all(deployment.controls.map(async ({process}) => process.kill('SIGKILL')));
	await Promise.all(deployment.controls.map(async ({writeSettings}) => writeSettings({isFounding: false})));
	await startAll(deployment.controls);

	await putConfiguration(deployment, configuration(4));
	for (const {address} of deployment.controls) {
		const read = await waitUntil(async () => {
			const answer = await sendForResponse({
				method: 'GET', address, path: '/-/config', headers: {},
			});
			return answer.status === 200 ? answer : undefined;
		}, {description: 'a read configuration'});
		t.deepEqual(JSON.parse(read.text), configuration(9, ['k1', 'k2']));
	}
});

test('an evacuated zone gets no requests until its evacuation ends, also after all control instances crashed', async t => {
	const {deployment, backends} = await start(t, {servers: [labels, {...labels, id: 'i-other', zone: 'hall-b'}]});
	const order = async (method: 'POST' | 'DELETE', zone: string, body?: unknown) => sendForStatus({
		method, address: deployment.controls[1]!.address, path: `/-/evacuations/${zone}`, body,
	});
	const [evacuated, other] = backends;
	const isServedBy = async (server: FakeBackendServer | undefined) => {
		const before = server!.runs.length;
		const answer = await send(deployment, '/look/7');
		return (answer.status === 200 && server!.runs.length > before) || undefined;
	};

	await waitUntil(async () => await order('POST', 'hall-a') === 200 || undefined, {description: 'an acknowledged evacuation'});
	t.is(await order('POST', 'hall-a'), 200, 'a repeated order is acknowledged again');
	t.is(await order('POST', 'hall-x'), 404);
	t.is(await order('POST', 'hall-b', {}), 400);
	await waitUntil(async () => isServedBy(other), {description: 'a response from the other zone'});
	const before = evacuated!.runs.length;
	await Promise.all(deployment.controls.map(async ({process}) => process.kill('SIGKILL')));
	await Promise.all(deployment.controls.map(async ({writeSettings}) => writeSettings({isFounding: false})));
	await startAll(deployment.controls);

	await putConfiguration(deployment, configuration(2));
	// While the control instances were down, the lease on keys may have ended.
	await waitUntil(async () => {
		const {status, text} = await send(deployment, '/look/7');
		t.true(status === 200 || text.includes('configuration-expired'), `status ${status}`);
		return status === 200 || undefined;
	}, {description: 'a confirmed configuration'});
	for (let index = 0; index < 10; index++) {
		const answer = await send(deployment, '/look/7');
		t.is(answer.status, 200);
	}

	t.is(evacuated!.runs.length, before);
	await waitUntil(async () => await order('DELETE', 'hall-a') === 200 || undefined, {description: 'an acknowledged end of the evacuation'});
	await waitUntil(async () => isServedBy(evacuated), {description: 'a response from the zone that was evacuated'});
});

test('a revoked key stops working, even at an entry instance without contact to control, while public routes keep working', async t => {
	const {deployment, backends} = await start(t, {servers: [labels], revocationMilliseconds: 2000});
	await putConfiguration(deployment, configuration(2, ['k2']));
	const refused = await waitUntil(async () => {
		const answer = await send(deployment, '/look/7');
		return answer.status === 401 ? answer : undefined;
	}, {description: 'the refusal of the old key'});
	t.is(refused.status, 401);
	await Promise.all(deployment.controls.map(async ({process}) => process.kill('SIGKILL')));
	const expired = await waitUntil(async () => {
		const answer = await send(deployment, '/look/7', {Authorization: 'Bearer k2'});
		return answer.status === 503 ? answer : undefined;
	}, {description: 'the end of the lease'});
	t.not(expired.retryAfter, undefined);
	const runs = backends[0]!.runs.length;
	const open = await send(deployment, '/open/7', {Authorization: ''});
	t.is(open.status, 200);
	t.is(backends[0]!.runs.length, runs + 1);
});

test('a graceful shutdown completes the requests in progress, and the process exits by itself', async t => {
	const slow = {id: 'i-models', service: 'models', answer: () => ({confidence: 90, events: ['a', 'b', 'c', 'd'], gap: 300})};
	const {deployment} = await start(t, {servers: [labels, slow]});
	const streaming = send(deployment, '/drafts/7');
	await new Promise(resolve => {
		setTimeout(resolve, 200);
	});
	const ended = deployment.entries[0]!.process.kill('SIGTERM');
	const ready = await waitUntil(async () => {
		const answer = await sendForResponse({
			method: 'GET', address: deployment.entries[0]!.readinessAddress, path: '/-/readyz', headers: {},
		});
		return answer.status === 503 ? answer : undefined;
	}, {description: 'the end of readiness'});
	t.is(ready.status, 503);
	const answer = await streaming;
	t.true(answer.isComplete);
	const end = await ended;
	t.is(end?.code, 0);
});

test('an order that is in progress when its control instance stops is answered', async t => {
	const {deployment} = await start(t, {servers: [labels]});
	const {address, process} = deployment.controls[1]!;
	const ordered = sendForStatus({method: 'POST', address, path: '/-/evacuations/hall-a'});
	// An order waits for 100 ms whether its caller is still connected.
	await new Promise(resolve => {
		setTimeout(resolve, 30);
	});
	await process.kill('SIGTERM');
	t.is(await ordered, 200);
});

test('a process keeps its settings while the settings file is being replaced', async t => {
	const {deployment} = await start(t, {servers: [labels]});
	const {process, removeSettings, writeSettings} = deployment.entries[0]!;
	const {pid} = process;
	await removeSettings();
	process.signal('SIGHUP');
	// Longer than the interval at which the process polls the file.
	await new Promise(resolve => {
		setTimeout(resolve, 2500);
	});
	await writeSettings({isFounding: false});
	t.like(await send(deployment, '/look/7'), {status: 200});
	t.is(process.pid, pid);
});

test('a request is cancelled at the server when its caller disconnects', async t => {
	const slow = {id: 'i-models', service: 'models', answer: () => ({confidence: 90, events: ['a', 'b', 'c', 'd', 'e', 'f'], gap: 1000})};
	const {deployment, backends} = await start(t, {servers: [labels, slow]});
	const [ip, port] = deployment.entries[0]!.address.split(':');
	const caller = connect(Number(port), ip);
	caller.on('error', () => {
		caller.destroy();
	});
	caller.write(`POST /drafts/7 HTTP/1.1\r\nHost: ${host}\r\nAttempt-Id: leaving\r\nModel: *\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\n\r\n`);
	caller.once('data', () => {
		caller.destroy();
	});
	const aborted = await waitUntil(async () => backends[1]!.abortedRequests[0], {description: 'the cancellation at the server'});
	t.is(aborted, 'leaving');
});

test('an invalid message from another instance crashes no process, even when repeated', async t => {
	const {deployment} = await start(t, {servers: [labels]});
	const {ip} = deployment.controls[0]!;
	const network = await PeerNetwork.listen<unknown>({
		self: 'other' as InstanceId, key: 'valehitch', host: ip.replace(/\d+$/v, '99'), port: 0, onMessage: () => undefined, onRequest: async () => undefined, onHandlerError: () => undefined,
	});
	const targets = deployment.instances.map(({ip: host}) => ({instance: host as InstanceId, host, port: 7340}));
	for (const message of [{type: 'of a later version'}, {type: 'suspects', records: 'none'}, {type: 'watch'}, undefined, 7]) {
		for (const target of targets) {
			network.send(target, message);
			await network.request(target, message, {timeoutMilliseconds: 100});
		}
	}

	await network.close();
	const statuses = await Promise.all(deployment.controls.map(async ({address}) => sendForStatus({method: 'GET', address, path: '/-/quarantine'})));
	t.deepEqual(statuses, [200, 200, 200]);
	t.like(await send(deployment, '/look/7'), {status: 200});
});
