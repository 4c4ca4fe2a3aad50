import test from 'ava';
import {
	callerKeys, sorted, startEntryDeployment, versions,
} from './_entry-deployment.js';
import {generateFakeTokens} from './fake-answer.js';
import {
	callService, type CallResult, requestChatStream, requestChat,
} from './http-client.js';
import {waitUntil} from './wait-until.js';

const key = callerKeys.yard;
const tokens = 60;
const timing = {
	announcementRenewMilliseconds: 1000, configurationLeaseMilliseconds: 5000, shutdownMilliseconds: 10_000, stallMilliseconds: 1500,
};

function messagesOf(text: string) {
	return [{role: 'user', content: text}];
}

function completeText(text: string): string {
	return generateFakeTokens({version: versions.first, messages: messagesOf(text), tokens}).join('');
}

// The other engine may be delayed by a busy machine when the first one is killed.
test.serial('when an engine is killed during streams, each stream completes or fails explicitly, with one bill', async t => {
	const entry = await startEntryDeployment(t, {settings: {timing}});
	const behaviour = {answerTokens: tokens, tokenMilliseconds: 25};
	await Promise.all([entry.setBehaviour('engine-1', behaviour), entry.setBehaviour('engine-2', behaviour)]);
	const texts = Array.from({length: 8}, (_, index) => `Trace coil ${index}`);
	const answers = texts.map(async (text, index) => requestChatStream(entry.callers(index % 3), {key, messages: messagesOf(text)}));
	const started = await waitUntil(async () => {
		const runs = await entry.runs('engine-1');
		return runs.length >= 2 || undefined;
	}, {description: 'streams on the first engine'});
	t.true(started);
	await entry.backend('engine-1').process.kill('SIGKILL');
	const results = await Promise.all(answers);
	t.log(JSON.stringify(results));
	for (const [index, result] of results.entries()) {
		const expected = completeText(texts[index]!);
		// A stream that had not started when the engine was killed fails with a status and only the problem details.
		const isExplicit = result.status === 200 ? expected.startsWith(result.text) : result.text.includes(`"kind":"${result.problem?.kind ?? 'none'}"`);
		t.true(result.done ? result.text === expected : isExplicit && result.problem !== undefined, `${index}: ${JSON.stringify(result)}`);
	}

	const completed = results.filter(({done}) => done);
	t.true(completed.length > 0);
	// Requests that provably did not run have no bill; all others have one.
	const executed = results.filter(({problem}) => problem?.outcome !== 'notRun');
	const requests = executed.map(({requestId, problem}) => requestId === '' ? String(problem?.requestId) : requestId);
	const bills = await entry.bills(requests);
	t.deepEqual(sorted(bills.map(({request}) => request)), sorted(requests));
	const resumed = bills.filter(({lines}) => (lines as ReadonlyArray<{readonly purpose: string}>).some(({purpose}) => purpose === 'resume'));
	t.true(resumed.length > 0);
	for (const {usage} of completed) {
		t.is(usage?.completionTokens, tokens);
	}
});

test.serial('when an engine accepts requests and stalls, another engine serves them or they fail explicitly', async t => {
	const entry = await startEntryDeployment(t, {settings: {timing}});
	await entry.setBehaviour('engine-1', {stall: true, answerTokens: tokens});
	await entry.setBehaviour('engine-2', {answerTokens: tokens});
	const results = await Promise.all(Array.from({length: 6}, async (_, index) => requestChatStream(entry.callers(index % 3), {key, messages: messagesOf(`Stall ${index}`)})));
	t.deepEqual(results.map(({done, text}) => [done, text]), results.map((_, index) => [true, completeText(`Stall ${index}`)]));
	const stalled = await waitUntil(async () => {
		const runs = await entry.runs('engine-1');
		return runs.every(({cancelled}) => cancelled === true) ? runs : undefined;
	}, {description: 'the stalled runs to be cancelled'});
	t.true(stalled.length > 0);
	await entry.setBehaviour('engine-2', {stall: true});
	const failed = await requestChatStream(entry.callers(0), {key, messages: messagesOf('Stall everywhere')});
	t.false(failed.done);
	t.false(failed.text.includes('amber'));
	t.not(failed.problem?.outcome, 'notRun');
	const bills = await entry.bills([...results, failed].map(({requestId}) => requestId).filter(id => id !== ''));
	t.is(new Set(bills.map(({request}) => request)).size, bills.length);
});

test.serial('concurrent callers whose responses arrive out of order each get their own response', async t => {
	const entry = await startEntryDeployment(t);
	const pace = async (server: string, milliseconds: number) => entry.setBehaviour(server, {answerTokens: tokens, firstTokenMilliseconds: milliseconds, tokenMilliseconds: 1});
	await Promise.all([pace('engine-1', 400), pace('engine-2', 20)]);
	const ask = async (index: number): Promise<CallResult> => {
		const options = {key, messages: messagesOf(`Coil ${index}`), headers: {'Valehitch-Class': `c${index}`}};
		return index % 2 === 0 ? requestChat(entry.callers(index % 3), options) : requestChatStream(entry.callers(index % 3), options);
	};

	const results = await Promise.all(Array.from({length: 24}, async (_, index) => ask(index)));
	t.deepEqual(results.map(({text}) => text), results.map((_, index) => completeText(`Coil ${index}`)));
	t.is(new Set(results.map(({requestId}) => requestId)).size, results.length);
	const bills = await entry.bills(results.map(({requestId}) => requestId));
	t.is(bills.length, results.length);
});

test.serial('a non-repeatable call is sent once, and concurrent calls with one key run once and are replayed', async t => {
	const entry = await startEntryDeployment(t, {engines: 1});
	const print = async (index: number, idempotencyKey?: string, body = '{"label":7}') => callService(entry.callers(index % 3), {
		key, service: 'labels', path: '/print', body, ...(idempotencyKey !== undefined && {headers: {'Idempotency-Key': idempotencyKey}}),
	});
	await entry.setBehaviour('labels-1', {firstTokenMilliseconds: 300});
	const parallel = await Promise.all(Array.from({length: 9}, async (_, index) => print(index, 'print-7')));
	const countRuns = async () => entry.countRuns('labels-1');
	t.is(await countRuns(), 1);
	for (const {status, problem, text} of parallel) {
		t.true(status === 200 ? text.includes('"run":1') : status === 409 && problem?.outcome === 'unknown', `${status} ${text}`);
	}

	const replayed = await waitUntil(async () => {
		const answer = await print(2, 'print-7');
		return answer.status === 200 ? answer : undefined;
	}, {description: 'the replayed response'});
	t.is(replayed.headers['valehitch-replayed'], 'true');
	t.true(replayed.text.includes('"run":1'));
	const reused = await print(0, 'print-7', '{"label":8}');
	t.deepEqual([reused.status, reused.problem?.kind, reused.problem?.outcome], [422, 'key-reused', 'notRun']);
	t.is(await countRuns(), 1);

	await entry.setBehaviour('labels-1', {cutAfterTokens: 0});
	const cut = await print(1);
	t.deepEqual([cut.status, cut.problem?.kind, cut.problem?.outcome], [502, 'outcome-unknown', 'unknown']);
	const keyedCut = await print(1, 'print-9');
	t.is(keyedCut.problem?.outcome, 'unknown');
	await entry.setBehaviour('labels-1', {});
	const afterCut = await waitUntil(async () => {
		const answer = await print(2, 'print-9');
		return answer.status === 409 ? undefined : answer;
	}, {description: 'the settled claim'});
	t.deepEqual([afterCut.status, afterCut.problem?.kind, afterCut.problem?.outcome], [502, 'outcome-unknown', 'unknown']);
	t.is(await countRuns(), 3);

	await entry.setBehaviour('labels-1', {refuseNotRun: true});
	const refused = await print(0, 'print-10');
	t.deepEqual([refused.status, refused.problem?.outcome], [503, 'notRun']);
	await entry.setBehaviour('labels-1', {});
	const released = await waitUntil(async () => {
		const answer = await print(1, 'print-10');
		return answer.status === 200 ? answer : undefined;
	}, {description: 'the released claim'});
	t.is(released.headers['valehitch-replayed'], undefined);
	t.is(await countRuns(), 4);
});
