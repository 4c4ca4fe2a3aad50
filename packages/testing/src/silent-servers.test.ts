import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {
	callerKeys, type EntryDeployment, startEntryDeployment, versions,
} from './_entry-deployment.js';
import {generateFakeTokens} from './fake-answer.js';
import {type CallResult, requestChatStream} from './http-client.js';
import {waitUntil} from './wait-until.js';

const key = callerKeys.yard;
const tokens = 60;
const behaviour = {answerTokens: tokens, tokenMilliseconds: 25};
/** Longer than the stall timeout plus the retry delay, and longer than the time after which a server without announcements is removed. */
const suspendedMilliseconds = 4500;
const timing = {
	announcementRenewMilliseconds: 1000, configurationLeaseMilliseconds: 5000, shutdownMilliseconds: 10_000, stallMilliseconds: 1500,
};
const texts = Array.from({length: 8}, (_, index) => `Coil ${index}`);

function messagesOf(text: string) {
	return [{role: 'user', content: text}];
}

const expectedResponses = texts.map(text => [200, true, generateFakeTokens({version: versions.first, messages: messagesOf(text), tokens}).join('')]);

function summarize(results: readonly CallResult[]) {
	return results.map(({status, done, text}) => [status, done, text]);
}

/** Starts all streams and waits until each has reached an engine. */
async function openStreams(entry: EntryDeployment, engines: readonly string[]): Promise<{readonly results: Promise<CallResult[]>}> {
	const results = Promise.all(texts.map(async (text, index) => requestChatStream(entry.callers(index % 3), {key, messages: messagesOf(text)})));
	await waitUntil(async () => {
		const runs = await Promise.all(engines.map(async engine => entry.runs(engine)));
		return runs.flat().length === texts.length || undefined;
	}, {description: 'all streams to reach the engines'});
	return {results};
}

async function countBills(entry: EntryDeployment, results: readonly CallResult[]): Promise<readonly number[]> {
	const requests = results.map(({requestId}) => requestId);
	const bills = await entry.bills(requests);
	return requests.map(request => bills.filter(bill => bill.request === request).length);
}

test.serial('streams whose only server is suspended for longer than stall timeout and retry delay continue once it resumes, with one bill each', async t => {
	const entry = await startEntryDeployment(t, {settings: {timing}});
	await Promise.all([entry.setBehaviour('engine-1', behaviour), entry.setBehaviour('engine-2', behaviour)]);
	const {results} = await openStreams(entry, ['engine-1', 'engine-2']);
	entry.backend('engine-2').process.signal('SIGSTOP');
	await entry.backend('engine-1').process.kill('SIGKILL');
	await delay(suspendedMilliseconds);
	entry.backend('engine-2').process.signal('SIGCONT');
	const completed = await results;
	t.deepEqual(summarize(completed), expectedResponses);
	t.deepEqual(await countBills(entry, completed), texts.map(() => 1));
});

test.serial('streams whose only server is killed before their first token continue once it has restarted', async t => {
	const entry = await startEntryDeployment(t, {engines: 1, settings: {timing}});
	await entry.setBehaviour('engine-1', {...behaviour, firstTokenMilliseconds: 1000});
	const {results} = await openStreams(entry, ['engine-1']);
	// The response headers follow the start of the runs at once, the tokens later.
	await delay(behaviour.tokenMilliseconds);
	await entry.backend('engine-1').process.kill('SIGKILL');
	entry.backend('engine-1').process.start();
	const completed = await results;
	t.deepEqual(completed.map(({status, done}) => [status, done]), texts.map(() => [200, true]));
	t.deepEqual(await countBills(entry, completed), texts.map(() => 1));
});
