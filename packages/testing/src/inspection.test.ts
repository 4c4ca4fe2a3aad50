import test, {type ExecutionContext} from 'ava';
import {sendForResponse, type ReceivedResponse} from './platform/fake-backend-server.js';
import {PlatformDeployment, ports} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {startBackends} from './platform/start-backends.js';
import {sendRequest, type TextResponse} from './send-request.js';
import {waitUntil} from './wait-until.js';

const host = 'desk.example';
const route = {
	host, kind: 'safe', timeoutMs: 1000, targetLatencyMs: 500, maxAttempts: 1, public: true,
};
const configuration = {
	version: 1,
	routes: [{
		...route, name: 'look', pathPrefix: '/look/', service: 'labels',
	}, {
		...route, name: 'none', pathPrefix: '/none/', service: 'missing',
	}],
	services: [{name: 'labels'}, {name: 'missing'}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tenants: [],
};
const bodyBytes = 1_048_576;

type Started = {
	readonly call: (path: string, id: string) => Promise<ReceivedResponse>;
	/** Sends a body to the instance. */
	readonly post: (body: string) => Promise<TextResponse>;
	/** Asks the entry instance at its metrics port. */
	readonly inspect: (path: string) => Promise<TextResponse>;
	/** Asks a control instance. */
	readonly inspectControl: (path: string) => Promise<TextResponse>;
};

/** Starts a deployment with one server and one route that has none. */
async function start(t: ExecutionContext): Promise<Started> {
	const deployment = await PlatformDeployment.start({
		entryCount: 1, hasMetrics: true, settings: {limits: {memoryMb: 2, heldShare: 0.25}, inspection: {notedShare: 1}},
	});
	await startBackends(t, {deployment, servers: [{id: 'i-1', service: 'labels', answer: () => ({events: ['printed']})}]});
	await putConfiguration(deployment, configuration);
	const entry = deployment.entries[0]!;
	const control = deployment.controls[0]!;
	const call = async (path: string, id: string): Promise<ReceivedResponse> => sendForResponse({
		method: 'GET', address: entry.address, path, headers: {Host: host, 'Attempt-Id': id, 'Deadline-Ms': '1000'},
	});
	await waitUntil(async () => {
		const {status} = await call('/look/first', 'first');
		return status === 200 || undefined;
	}, {description: 'a response of the server'});
	return {
		call,
		post: async body => sendRequest(`http://${entry.address}/look/post`, {method: 'POST', headers: {Host: host, 'Attempt-Id': 'post', 'Deadline-Ms': '1000'}, body}),
		inspect: async path => sendRequest(`http://${entry.ip}:${ports.metrics}${path}`),
		inspectControl: async path => sendRequest(`http://${control.ip}:${ports.metrics}${path}`),
	};
}

test('an operator sees what an entry instance believes, where a request went, why another was refused, and how much is held', async t => {
	const {call, post, inspect, inspectControl} = await start(t);
	const beliefs = await inspect('/servers');
	const {servers} = JSON.parse(beliefs.body) as {readonly servers: readonly unknown[]};
	t.is(servers.length, 1);
	t.like(servers[0], {
		server: 'i-1', service: 'labels', zone: 'hall-a', state: 'ready', ownRequests: 0, conditions: [],
	});
	const none = await inspectControl('/servers');
	t.is(none.status, 404);

	await call('/look/second', 'second');
	const chosen = await inspect('/decisions/second');
	t.regex(chosen.body, /"kind":"chosen".*"server":"i-1".*"kind":"answered"/v);
	const refused = await call('/none/x', 'third');
	t.is(refused.status, 503);
	const why = await inspect('/decisions/third');
	t.regex(why.body, /"kind":"no-server".*"kind":"refused".*"error":"no-server"/v);

	const rejected = await post('x'.repeat(bodyBytes));
	t.is(rejected.status, 503);
	t.true(Number(rejected.headers['retry-after']) > 0);
	const reason = await inspect('/decisions/post');
	t.regex(reason.body, /"error":"overloaded","reason":"1048576 more bytes do not fit/v);
	const accepted = await post('x'.repeat(bodyBytes / 4));
	t.is(accepted.status, 200);
	const metrics = await inspect('/metrics');
	t.regex(metrics.body, /^valehitch_held_bytes \d+$/mv);
	const profile = await inspect('/profile?seconds=1');
	t.regex(profile.body, / % {2}idle\n/v);
});
