import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {
	type ExecutedRequest, type FakeBackendResponse, FakeBackendServer, type ReceivedResponse, sendForResponse,
} from './platform/fake-backend-server.js';
import {PlatformDeployment} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {routeKindsConfiguration, routeKindsHost} from './platform/route-kinds-configuration.js';
import {startBackends} from './platform/start-backends.js';
import {waitUntil} from './wait-until.js';

const configuration = routeKindsConfiguration({timeoutMs: 4000, targetMs: 1000});
const events = ['one', 'two', 'three', 'four'];
const completeStream = events.map((event, index) => `id: ${index + 1}\ndata: ${event}\n\n`).join('');
const twoEvents = completeStream.slice(0, completeStream.indexOf('id: 3'));

type Started = {
	readonly deployment: PlatformDeployment;
	readonly backends: readonly FakeBackendServer[];
	readonly send: (path: string) => Promise<ReceivedResponse>;
};

/** Starts two servers of each service whose first answer to a request other than the first ones ends as given; the next one is complete. */
async function start(t: ExecutionContext, truncated: FakeBackendResponse | ((path: string) => FakeBackendResponse)): Promise<Started> {
	const deployment = await PlatformDeployment.start({entryCount: 1});
	const seen = new Set<string>();
	const answer = ({id, path}: ExecutedRequest): FakeBackendResponse => {
		if (path.endsWith('/first') || seen.has(id)) {
			return {confidence: 90, events};
		}

		seen.add(id);
		return {confidence: 90, events, ...(typeof truncated === 'function' ? truncated(path) : truncated)};
	};

	const backends = await startBackends(t, {
		deployment, servers: ['models', 'labels'].flatMap(service => ['1', '2'].map(number => ({id: `i-${service}-${number}`, service, answer}))),
	});
	await putConfiguration(deployment, configuration);
	let requests = 0;
	const send = async (path: string): Promise<ReceivedResponse> => {
		requests++;
		return sendForResponse({
			method: path.startsWith('/look/') ? 'GET' : 'POST', address: deployment.entries[0]!.address, path, headers: {
				Host: routeKindsHost, 'Attempt-Id': `a${requests}`, 'Deadline-Ms': '4000',
				...(/^\/(?:drafts|once)\//v.test(path) && {Model: '*', 'Token-Usage': '100,20', 'Prompt-Prefix': '1:50,2:50'}),
			},
		});
	};

	for (const path of ['/drafts/first', '/look/first']) {
		await waitUntil(async () => {
			const {status} = await send(path);
			return status === 200 || undefined;
		}, {description: `a response to ${path}`});
	}

	return {deployment, backends, send};
}

/** Returns the runs of a request at all servers, by the event after which they began. */
function runsOf(backends: readonly FakeBackendServer[], path: string): readonly ExecutedRequest[] {
	return backends.flatMap(({runs}) => runs).filter(run => run.path === path).toSorted((one, other) => Number(one.lastEventId ?? 0) - Number(other.lastEventId ?? 0));
}

for (const isUnframed of [true, false]) {
	test(`a stream ${isUnframed ? 'without a length' : 'in chunks'} that its server ends inside an event does not end as complete`, async t => {
		const {backends, send} = await start(t, {isUnframed, truncation: {by: 'end', after: 2, isInsideEvent: true}});
		t.like(await send('/drafts/7'), {status: 200, text: completeStream, isComplete: true});
		t.deepEqual(runsOf(backends, '/drafts/7').map(({lastEventId}) => lastEventId), [undefined, '2']);
		t.like(await send('/once/7'), {status: 200, text: twoEvents, isComplete: false});
		t.is(runsOf(backends, '/once/7').length, 1);
	});
}

test('a stream without a length whose server exits between two events does not end as complete', async t => {
	const {backends, send} = await start(t, {isUnframed: true, truncation: {by: 'exit', after: 2}});
	t.like(await send('/drafts/7'), {status: 200, text: completeStream, isComplete: true});
	t.deepEqual(runsOf(backends, '/drafts/7').map(({lastEventId}) => lastEventId), [undefined, '2']);
	t.like(await send('/once/7'), {status: 200, text: twoEvents, isComplete: false});
	t.is(runsOf(backends, '/once/7').length, 1);
});

test('a plain answer without a length whose server exits is repeated or fails, and does not look complete', async t => {
	const {backends, send} = await start(t, {isUnframed: true, truncation: {by: 'exit', after: 2}});
	t.like(await send('/look/7'), {status: 200, text: events.join(''), isComplete: true});
	t.is(runsOf(backends, '/look/7').length, 2);
	t.like(await send('/print/7'), {status: 502, isComplete: true});
	t.is(runsOf(backends, '/print/7').length, 1);
});

test('an answer whose server closes the connection inside its head does not become a success that is cut', async t => {
	const {backends, send} = await start(t, path => ({truncation: {by: 'end', after: 0, headBytes: Number(path.split('/').at(-1))}}));
	const successes = new Set<string>();
	for (let headBytes = 0; headBytes < 140; headBytes += 9) {
		for (const [path, text] of [[`/look/${headBytes}`, events.join('')], [`/drafts/${headBytes}`, completeStream]] as const) {
			const answer = await send(path);
			const isSuccess = answer.status < 500;
			t.like(answer, {isComplete: true, ...(isSuccess && {status: 200, text})});
			if (isSuccess) {
				successes.add(path);
			}
		}

		for (const path of [`/print/${headBytes}`, `/once/${headBytes}`]) {
			const {status, isComplete} = await send(path);
			t.true(isComplete && status >= 500, `${path}: ${status}`);
			t.true(runsOf(backends, path).length <= 1, `runs of ${path}`);
		}
	}

	t.true(successes.size > 0);
});

test('an answer whose server exits inside its head is repeated or fails, and does not look complete', async t => {
	const {backends, send} = await start(t, {truncation: {by: 'exit', after: 0, headBytes: 60}});
	t.like(await send('/drafts/7'), {status: 200, text: completeStream, isComplete: true});
	t.like(await send('/look/7'), {status: 200, text: events.join(''), isComplete: true});
	for (const path of ['/once/7', '/print/7']) {
		t.like(await send(path), {status: 502, isComplete: true});
		t.is(runsOf(backends, path).length, 1);
	}
});

test('answers without a length whose servers go on running are complete', async t => {
	const {backends, send} = await start(t, {isUnframed: true});
	for (const path of ['/drafts/7', '/once/7']) {
		t.like(await send(path), {status: 200, text: completeStream, isComplete: true});
		t.is(runsOf(backends, path).length, 1);
	}

	for (const path of ['/look/7', '/print/7']) {
		t.like(await send(path), {status: 200, text: events.join(''), isComplete: true});
		t.is(runsOf(backends, path).length, 1);
	}
});

test('a caller of HTTP/1.0 does not see a clean end of a stream that is broken off', async t => {
	const {deployment} = await start(t, {isUnframed: true, truncation: {by: 'end', after: 2, isInsideEvent: true}});
	const [hostName, port] = deployment.entries[0]!.address.split(':');
	const socket = connect(Number(port), hostName);
	let text = '';
	let isReset = false;
	socket.on('data', chunk => {
		text += String(chunk);
	});
	socket.on('error', () => {
		isReset = true;
	});
	socket.write(`POST /once/7 HTTP/1.0\r\nHost: ${routeKindsHost}\r\nAttempt-Id: b1\r\nDeadline-Ms: 4000\r\nModel: *\r\nToken-Usage: 100,20\r\nPrompt-Prefix: 1:50,2:50\r\nContent-Length: 0\r\n\r\n`);
	await new Promise(resolve => {
		socket.on('close', resolve);
	});
	t.true(text.endsWith(twoEvents));
	t.true(isReset);
});

for (const {path, expected} of [
	{path: '/drafts/7', expected: {status: 200, text: completeStream, isComplete: true}},
	{path: '/once/7', expected: {status: 200, text: twoEvents, isComplete: false}},
	{path: '/look/7', expected: {status: 200, text: events.join(''), isComplete: true}},
	{path: '/print/7', expected: {status: 502, isComplete: true}},
]) {
	test(`the answer to ${path} does not end as complete if its server exits and another one takes its address while the instance is suspended`, async t => {
		const {deployment, backends, send} = await start(t, {isUnframed: true, gap: 300, truncation: {by: 'exit', after: 2}});
		const {process} = deployment.entries[0]!;
		const answer = send(path);
		const cut = await waitUntil(async () => backends.find(({runs}) => runs.some(run => run.path === path)), {description: 'a run'});
		await delay(150);
		process.signal('SIGSTOP');
		await delay(700);
		const {port, service} = cut;
		const successor = await FakeBackendServer.start({
			id: 'i-successor', service, host: '127.0.0.1', port, answer: () => ({events}),
		});
		t.teardown(() => {
			successor.close();
		});
		await delay(300);
		process.signal('SIGCONT');
		t.like(await answer, expected);
	});
}

test('answers without a length that end after a pause are complete if their server goes on running', async t => {
	const {backends, send} = await start(t, {isUnframed: true, gap: 600});
	t.like(await send('/once/7'), {status: 200, text: completeStream, isComplete: true});
	t.like(await send('/look/7'), {status: 200, text: events.join(''), isComplete: true});
	t.is(runsOf(backends, '/look/7').length, 1);
});
