import {type ServerId, type ServiceId} from '@valehitch/core';
import {type AttemptEvent, type RequestTarget} from '@valehitch/routing';
import test, {type ExecutionContext} from 'ava';
import {createLinks} from '../_test-links.js';
import {listen} from '../_test-listen.js';
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

type ContextState = {
	services: readonly string[];
	server: 'joined' | 'draining';
};

/** A context whose state changes when the connection to the server opens. */
function createContext(address: string, change: (state: ContextState) => void): EntryContext & {readonly failures: boolean[]} {
	const state: ContextState = {services: [service], server: 'joined'};
	const links = createLinks();
	links.recordConnected = () => {
		change(state);
	};

	const failures: boolean[] = [];
	const context = {
		clock,
		failures,
		settings: {timing: {stallMilliseconds: 1000}, limits: {bodyBytes: 1000}},
		active: () => ({effective: {document: {services: {[service]: {}}, workspaces: {yard: {services: state.services}}}}}),
		connections: {links: {of: () => links}, relays: {choose: () => undefined}},
		servers: {available: () => [{announcement: {server, address}, state: state.server, inFlight: 0}]},
		timeline: {record: ignore},
		activity: {recordData: ignore},
		overdue: {begin: () => () => ({firstReviewAfter: 60_000, recordAnswered: ignore, recordAbandoned: ignore})},
		decisions: {get: () => undefined, recordAttempt: ignore},
		serverSelector: {
			recordOutcome(_server: ServerId, failed: boolean) {
				failures.push(failed);
			},
		},
	};
	return context as unknown as EntryContext & {readonly failures: boolean[]};
}

/** Dispatches a request, and returns the event of its end, how many requests the server received, and what was recorded of it. */
async function dispatchWith(t: ExecutionContext, change: (state: ContextState) => void) {
	let received = 0;
	const address = await listen(t, (_request, response) => {
		received++;
		response.end();
	});
	const context = createContext(address, change);
	const call = {request: {method: 'GET', headers: {}}, requestId: 'r-1', workspace: 'yard'} as unknown as AuthenticatedCall;
	const adapter = serviceAdapter({
		call, service, path: '/print', body: new Uint8Array(), repeatable: true,
	}, {context, deadline: 1000});
	const event = await new Promise<AttemptEvent>(resolve => {
		const attempts: AttemptSet = new AttemptSet({
			onOutput(attempt, output) {
				resolve(toRequestEvent(attempt, output, attempts.get(attempt)?.denial));
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
	return {event, received, failures: context.failures};
}

test('a request whose target is withdrawn while its connection opens is not sent, and its server has not failed', async t => {
	const dispatched = await dispatchWith(t, state => {
		state.services = [];
	});
	t.deepEqual(dispatched, {event: {type: 'dispatch-denied', attempt: 1, reason: 'not-allowed'}, received: 0, failures: []});
});

test('a request whose server starts to drain while its connection opens is not sent to it', async t => {
	const dispatched = await dispatchWith(t, state => {
		state.server = 'draining';
	});
	t.deepEqual(dispatched, {event: {type: 'dispatch-denied', attempt: 1, reason: 'server-draining'}, received: 0, failures: []});
});
