import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {
	callerKeys, startEntryDeployment, versions,
} from './_entry-deployment.js';
import {generateFakeTokens} from './fake-answer.js';
import {requestChatStream, callService} from './http-client.js';
import {waitUntil} from './wait-until.js';

const key = callerKeys.yard;
const tokens = 60;
const stallMilliseconds = 1500;
const suspendedMilliseconds = 4000;
/** Longer than the stall timeout of an attempt, and shorter than that plus the delay before servers are retried. */
const engineSuspendedMilliseconds = 2000;
const timing = {
	announcementRenewMilliseconds: 1000, configurationLeaseMilliseconds: 5000, shutdownMilliseconds: 10_000, stallMilliseconds,
};

function messagesOf(text: string) {
	return [{role: 'user', content: text}];
}

// A resumed process runs its timers before it reads its sockets, so that stall timeouts fire although data has arrived.
test.serial('an instance suspended for longer than the stall timeout continues with the data that arrived meanwhile', async t => {
	const entry = await startEntryDeployment(t, {engines: 1, settings: {timing}});
	await entry.setBehaviour('engine-1', {answerTokens: tokens, tokenMilliseconds: 25});
	const texts = Array.from({length: 6}, (_, index) => `Coil ${index}`);
	const answers = Promise.all(texts.map(async text => requestChatStream(entry.callers(1), {key, messages: messagesOf(text)})));
	await waitUntil(async () => {
		const runs = await entry.runs('engine-1');
		return runs.length === texts.length || undefined;
	}, {description: 'all streams to reach the engine'});
	entry.daemon(1).process.signal('SIGSTOP');
	await delay(suspendedMilliseconds);
	entry.daemon(1).process.signal('SIGCONT');
	const results = await answers;
	const expected = texts.map(text => [200, true, generateFakeTokens({version: versions.first, messages: messagesOf(text), tokens}).join('')]);
	t.deepEqual(results.map(({status, done, text}) => [status, done, text]), expected);
	t.is(await entry.countRuns('engine-1'), texts.length);
});

// Each stream has tried both engines by the time the second one resumes.
test.serial('when one engine is killed and the other is suspended, the streams continue once it resumes', async t => {
	const entry = await startEntryDeployment(t, {settings: {timing}});
	const behaviour = {answerTokens: tokens, tokenMilliseconds: 25};
	await Promise.all([entry.setBehaviour('engine-1', behaviour), entry.setBehaviour('engine-2', behaviour)]);
	const texts = Array.from({length: 8}, (_, index) => `Coil ${index}`);
	const answers = Promise.all(texts.map(async (text, index) => requestChatStream(entry.callers(index % 3), {key, messages: messagesOf(text)})));
	await waitUntil(async () => {
		const runs = await Promise.all([entry.runs('engine-1'), entry.runs('engine-2')]);
		return runs.flat().length === texts.length || undefined;
	}, {description: 'all streams to reach the engines'});
	entry.backend('engine-2').process.signal('SIGSTOP');
	await entry.backend('engine-1').process.kill('SIGKILL');
	await delay(engineSuspendedMilliseconds);
	entry.backend('engine-2').process.signal('SIGCONT');
	const results = await answers;
	const expected = texts.map(text => [200, true, generateFakeTokens({version: versions.first, messages: messagesOf(text), tokens}).join('')]);
	t.deepEqual(results.map(({status, done, text}) => [status, done, text]), expected);
	const requests = results.map(({requestId}) => requestId);
	const bills = await entry.bills(requests);
	t.deepEqual(requests.map(request => bills.filter(bill => bill.request === request).length), requests.map(() => 1));
});

/** Sends a request and leaves; both have arrived at a suspended instance before it resumes. */
async function sendAndLeave(address: string, request: string): Promise<void> {
	const {hostname, port} = new URL(address);
	const caller = connect(Number(port), hostname);
	caller.on('error', () => undefined);
	await once(caller, 'connect');
	caller.write(request);
	caller.destroy();
}

test.serial('requests that a suspended instance reads after their callers have left are not sent on', async t => {
	const entry = await startEntryDeployment(t, {engines: 1, settings: {timing}});
	const callers = entry.callers(1);
	const chatBody = JSON.stringify({model: 'auto', messages: messagesOf('Coil 1')});
	const head = (method: string, path: string) => `${method} ${path} HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer ${key}\r\n`;
	const requests = [
		`${head('GET', '/services/labels/7')}\r\n`,
		`${head('POST', '/v1/chat/completions')}Content-Type: application/json\r\nContent-Length: ${chatBody.length}\r\n\r\n${chatBody}`,
	];
	const lookUp = async () => callService(callers, {
		key, service: 'labels', path: '/7', method: 'GET',
	});
	// Opens a connection to the server that the next request can reuse.
	const {done} = await lookUp();
	t.true(done);
	entry.daemon(1).process.signal('SIGSTOP');
	await Promise.all(Array.from({length: 6}, async (_, index) => sendAndLeave(callers, requests[index % requests.length]!)));
	entry.daemon(1).process.signal('SIGCONT');
	await delay(stallMilliseconds);
	const later = await lookUp();
	t.true(later.done);
	t.is(await entry.countRuns('labels-1'), 2);
	t.is(await entry.countRuns('engine-1'), 0);
});
