import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type ServerId, type ServiceId} from '@valehitch/core';
import {type RequestTarget, ServiceLinks} from '@valehitch/routing';
import test from 'ava';
import {type AttemptOutput} from '../attempt-output.js';
import {type EntryContext} from '../entry-context.js';
import {type AuthenticatedCall} from '../handle-chat.js';
import {serviceAdapter} from '../service-adapter.js';
import {AttemptSet} from './attempt-set.js';
import {dispatchAttempt} from './dispatch-attempt.js';
import {toRequestEvent} from './output-event.js';

const server = 'labels-1' as ServerId;
const service = 'labels' as ServiceId;
const target: RequestTarget = {type: 'service', service};
const clock = {monotonic: () => 0, now: () => new Date(0)};

function ignore(): void {
	// The event is not under test.
}

/** A context in which the workspace loses the service when the connection to its server opens. */
function createContext(address: string): EntryContext & {readonly failures: boolean[]} {
	let services: readonly string[] = [service];
	const links = new ServiceLinks({
		clock, random: () => 0, servers: () => [], isReachable: async () => false, wait: async () => new Promise<void>(ignore), onCutOff: ignore, onReachable: ignore,
	});
	links.recordConnected = () => {
		services = [];
	};

	const failures: boolean[] = [];
	const context = {
		clock,
		failures,
		settings: {timing: {stallMilliseconds: 1000}, limits: {bodyBytes: 1000}},
		active: () => ({effective: {document: {services: {[service]: {}}, workspaces: {yard: {services}}}}}),
		connections: {links: {of: () => links}, relays: {choose: () => undefined}},
		servers: {available: () => [{announcement: {server, address}, state: 'joined', inFlight: 0}]},
		timeline: {record: ignore},
		decisions: {get: () => undefined, recordAttempt: ignore},
		serverSelector: {
			recordOutcome(_server: ServerId, failed: boolean) {
				failures.push(failed);
			},
		},
	};
	return context as unknown as EntryContext & {readonly failures: boolean[]};
}

test('a request whose target is withdrawn while its connection opens is not sent, and its server has not failed', async t => {
	let received = 0;
	const listener = createServer((_request, response) => {
		received++;
		response.end();
	}).listen(0, '127.0.0.1');
	t.teardown(() => {
		listener.closeAllConnections();
		listener.close();
	});
	await once(listener, 'listening');
	const context = createContext(`http://127.0.0.1:${(listener.address() as AddressInfo).port}`);
	const call = {request: {method: 'GET', headers: {}}, requestId: 'r-1', workspace: 'yard'} as unknown as AuthenticatedCall;
	const adapter = serviceAdapter({
		call, service, path: '/print', body: new Uint8Array(), repeatable: true,
	}, {context, deadline: 1000});
	const output = await new Promise<AttemptOutput>(resolve => {
		const attempts = new AttemptSet({
			onOutput(_attempt, first) {
				resolve(first);
			},
			onError(error) {
				t.fail(String(error));
			},
			waitForDrain: async () => undefined,
		});
		const denied = dispatchAttempt({
			type: 'dispatch', attempt: 1, server, target, purpose: 'first', resumeFrom: 0, freshConnection: false,
		}, {
			...call, adapter, attempts, context, partialAnswer: {text: '', tokens: 0},
		});
		t.is(denied, undefined);
	});
	t.deepEqual(toRequestEvent(1, output), {type: 'dispatch-denied', attempt: 1, reason: 'not-allowed'});
	t.is(received, 0);
	t.deepEqual(context.failures, []);
});
