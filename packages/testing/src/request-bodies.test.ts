import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Agent, type IncomingMessage, request as openRequest} from 'node:http';
import test from 'ava';
import {type ExecutedRequest, type FakeBackendResponse} from './platform/fake-backend-server.js';
import {PlatformDeployment} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {cutServerLinks, serverCutEnvironment} from './platform/server-cut.js';
import {startBackends} from './platform/start-backends.js';
import {waitUntil} from './wait-until.js';

const host = 'desk.example';
const route = {
	host, timeoutMs: 4000, targetLatencyMs: 1000, maxAttempts: 3, service: 'labels', public: false,
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
	],
	services: [{name: 'labels'}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tenants: [{name: 'mills', apiKeys: ['k1'], priority: 1}, {name: 'yards', apiKeys: ['k2'], priority: 1}],
};
const methods = ['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE', 'POST', 'PUT', 'PATCH'];
const hiddenRequest = `POST /look/hidden HTTP/1.1\r\nHost: ${host}\r\nAttempt-Id: hidden\r\nTenant: yards\r\nContent-Length: 2\r\n\r\nhi`;
const bodies = ['', '{"coil": 7}', hiddenRequest];

type CallerRequest = Pick<ExecutedRequest, 'id' | 'method' | 'path' | 'body'> & {
	readonly isChunked: boolean;
	readonly agent: Agent;
};

/** Requests of each method with each body, sent with a length and in chunks. Those below `/look/again/` are sent to a second server. */
const requests = methods.flatMap(method => bodies.flatMap(body => [false, true].flatMap(isChunked => ['/look/7', '/look/again/7', '/print/7'].map(path => ({
	method, path, body, isChunked,
})))));

/** Sends a request whose body has a length or chunks, and returns the status of its response. */
async function send(address: string, {id, method, path, body, isChunked, agent}: CallerRequest): Promise<number> {
	const [ip, port] = address.split(':') as [string, string];
	const framing: Record<string, string> = isChunked ? {'Transfer-Encoding': 'chunked'} : {'Content-Length': String(Buffer.byteLength(body))};
	const outgoing = openRequest({
		host: ip, port, method, path, agent, headers: {
			Host: host, 'Attempt-Id': id, 'Deadline-Ms': '4000', Authorization: 'Bearer k1', ...framing,
		},
	});
	outgoing.end(body);
	const [message] = await once(outgoing, 'response') as [IncomingMessage];
	message.resume();
	await once(message, 'end');
	return message.statusCode ?? 0;
}

test('the body of a request reaches its server as it was sent and does not run as a request of its own, whatever the method', async t => {
	const deployment = await PlatformDeployment.start({environment: instance => serverCutEnvironment(instance)});
	const failedOnce = new Set<string>();
	const answer = ({id, path}: ExecutedRequest): FakeBackendResponse => {
		const fails = path.startsWith('/look/again/') && !failedOnce.has(id);
		failedOnce.add(id);
		return fails ? {breakAfter: 0} : {};
	};

	const backends = await startBackends(t, {
		deployment, servers: ['1', '2', '3'].map(number => ({id: `i-${number}`, service: 'labels', answer})),
	});
	await putConfiguration(deployment, configuration);
	const agent = new Agent({keepAlive: true});
	t.teardown(() => {
		agent.destroy();
	});
	let count = 0;
	const sent = new Map<string, string>();
	const sendOne = async (address: string, request: Pick<CallerRequest, 'method' | 'path' | 'body' | 'isChunked'>): Promise<number> => {
		const id = `a${++count}`;
		sent.set(id, JSON.stringify([request.method, request.path, request.body]));
		return send(address, {...request, id, agent});
	};

	for (const {address} of deployment.entries) {
		await waitUntil(async () => await sendOne(address, {
			method: 'GET', path: '/look/first', body: '', isChunked: false,
		}) === 200 || undefined, {description: 'a first response'});
	}

	// The second instance reaches the servers through the first one.
	await cutServerLinks(deployment.entries[1]!, 'refused');
	await waitUntil(async () => await sendOne(deployment.entries[1]!.address, {
		method: 'POST', path: '/print/relayed', body: '', isChunked: false,
	}) === 200 || undefined, {description: 'a response through a relay'});
	for (const {name, address} of deployment.entries) {
		for (const request of requests) {
			const {method, path, body, isChunked} = request;
			t.is(await sendOne(address, request), 200, `${method} ${path} at ${name} with ${body.length} bytes${isChunked ? ' in chunks' : ''}`);
		}
	}

	for (const {id, method, path, body, workspace, server} of backends.flatMap(({runs}) => runs)) {
		t.is<string | undefined, string | undefined>(JSON.stringify([method, path, body]), sent.get(id), `${id} at ${server}`);
		t.is(workspace, 'mills');
	}
});
