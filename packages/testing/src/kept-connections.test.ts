import test from 'ava';
import {
	callerKeys, type EntryDeployment, startEntryDeployment, versions,
} from './_entry-deployment.js';
import {generateFakeTokens} from './fake-answer.js';
import {
	callService, type CallResult, requestChatStream, requestChat,
} from './http-client.js';
import {waitUntil} from './wait-until.js';

const key = callerKeys.yard;
const tokens = 12;
const callers = 6;

function messagesOf(text: string) {
	return [{role: 'user', content: text}];
}

function completeText(text: string): string {
	return generateFakeTokens({version: versions.first, messages: messagesOf(text), tokens}).join('');
}

/** Opens idle connections from the second instance to all engines, which close each of them when the next request arrives on it. */
async function closeKeptConnections(entry: EntryDeployment, tokenMilliseconds: number): Promise<void> {
	await Promise.all(['engine-1', 'engine-2'].map(async server => entry.setBehaviour(server, {answerTokens: tokens, firstTokenMilliseconds: 50})));
	await Promise.all(Array.from({length: 3 * callers}, async (_, index) => requestChatStream(entry.callers(1), {key, messages: messagesOf(`Warm ${index}`)})));
	await Promise.all(['engine-1', 'engine-2'].map(async server => entry.setBehaviour(server, {answerTokens: tokens, tokenMilliseconds, closesKeptConnections: true})));
}

// A server may close an idle keep-alive connection while a request is being sent on it.
test.serial('every request completes when engines close keep-alive connections as requests arrive', async t => {
	const entry = await startEntryDeployment(t);
	await closeKeptConnections(entry, 0);
	const results: CallResult[] = [];
	for (let turn = 0; turn < 2 * callers; turn++) {
		const ask = turn % 2 === 0 ? requestChatStream : requestChat;
		results.push(await ask(entry.callers(1), {key, messages: messagesOf(`Coil ${turn}`)}));
	}

	t.deepEqual(results.map(({status, done, text}) => [status, done, text]), results.map((_, turn) => [200, true, completeText(`Coil ${turn}`)]));
	const requests = results.map(({requestId}) => requestId);
	const bills = await entry.bills(requests);
	t.deepEqual(requests.map(request => bills.filter(bill => bill.request === request).length), requests.map(() => 1));
});

test.serial('a graceful shutdown while engines close keep-alive connections loses no request', async t => {
	const entry = await startEntryDeployment(t);
	await closeKeptConnections(entry, 50);
	const answers = Promise.all(Array.from({length: callers}, async (_, caller) => requestChatStream(entry.callers(1), {key, messages: messagesOf(`Coil ${caller}`)})));
	await Promise.race([answers, waitUntil(async () => {
		const {inProgress} = await entry.deployment.status(entry.daemon(1));
		return inProgress === callers || undefined;
	}, {description: 'all requests in progress'})]);
	const end = await entry.daemon(1).process.stop();
	t.is(end?.code, 0);
	const results = await answers;
	t.deepEqual(results.map(({status, done, text}) => [status, done, text]), results.map((_, caller) => [200, true, completeText(`Coil ${caller}`)]));
});

test.serial('when a service closes keep-alive connections, calls succeed and each runs once', async t => {
	const entry = await startEntryDeployment(t);
	const call = async (path: string) => callService(entry.callers(1), {
		key, service: 'labels', path, body: '{"label":7}',
	});
	const first = await call('/lookup');
	t.is(first.status, 200);
	await entry.setBehaviour('labels-1', {closesKeptConnections: true});
	for (const path of ['/lookup', '/print', '/lookup', '/print']) {
		const {status, text} = await call(path);
		t.is(status, 200, `${path}: ${text}`);
	}

	t.is(await entry.countRuns('labels-1'), 5);
});
