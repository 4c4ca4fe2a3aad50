import test from 'ava';
import {generateFakeTokens} from './fake-answer.js';
import {startFakeEngine} from './fake-engine.js';
import {requestChatStream, requestChat} from './http-client.js';
import {sendRequest} from './send-request.js';
import {waitUntil} from './wait-until.js';

const version = 'tag-small@1.0';
const messages = [{role: 'user', content: 'Tag crate 17 of yard 3'}];
const chat = {key: 'none', model: version, messages};
const expected = generateFakeTokens({version, messages, tokens: 16}).join('');

test('streamed and unstreamed responses have the same text, and each is one run', async t => {
	const engine = await startFakeEngine({models: [version]});
	t.teardown(engine.kill);
	const streamed = await requestChatStream(engine.address, {...chat, headers: {'Valehitch-Request-Id': 'r1', 'Valehitch-Attempt': '1'}});
	const unstreamed = await requestChat(engine.address, chat);
	t.is(streamed.text, expected);
	t.true(streamed.done);
	t.deepEqual(streamed.usage, {promptTokens: 6, completionTokens: 16});
	t.is(unstreamed.text, expected);
	t.deepEqual(unstreamed.usage, streamed.usage);
	t.deepEqual(engine.runs, [
		{
			requestId: 'r1', attempt: '1', model: 'tag-small', version: '1.0', streamed: true, completed: true, cancelled: false,
		},
		{
			requestId: '', attempt: '', model: 'tag-small', version: '1.0', streamed: false, completed: true, cancelled: false,
		},
	]);
	t.is(engine.active(), 0);
});

test('an unstreamed response with delayed tokens completes', async t => {
	const engine = await startFakeEngine({models: [version], behaviour: {tokenMilliseconds: 1}});
	t.teardown(engine.kill);
	t.like(await requestChat(engine.address, chat), {text: expected, done: true});
});

test('an engine with a full batch completes each response', async t => {
	const engine = await startFakeEngine({models: [version], behaviour: {tokenMilliseconds: 1, fullSpeedRequests: 1}});
	t.teardown(engine.kill);
	const answers = await Promise.all(Array.from({length: 5}, async () => requestChatStream(engine.address, chat)));
	t.deepEqual(answers.map(({text}) => text), Array.from({length: 5}, () => expected));
});

test('different versions generate different responses', t => {
	t.not(generateFakeTokens({version: 'tag-small@1.1', messages, tokens: 16}).join(''), expected);
});

test('a cut stream ends without the final event, and a resumed response continues right after it', async t => {
	const engine = await startFakeEngine({models: [version], behaviour: {cutAfterTokens: 5}});
	t.teardown(engine.kill);
	const cut = await requestChatStream(engine.address, chat);
	t.false(cut.done);
	t.is(cut.text, generateFakeTokens({version, messages, tokens: 5}).join(''));
	engine.behaviour.cutAfterTokens = undefined;
	const {body} = await sendRequest(`${engine.address}/v1/chat/completions`, {
		method: 'POST', body: JSON.stringify({model: version, messages, resume: {text: cut.text}}),
	});
	t.true(body.includes(JSON.stringify(expected.slice(cut.text.length))));
	t.deepEqual(engine.runs.map(run => [run.completed, run.cancelled]), [[false, false], [true, false]]);
});

test('closing the connection cancels the request', async t => {
	const engine = await startFakeEngine({models: [version], behaviour: {tokenMilliseconds: 20, answerTokens: 1000}});
	t.teardown(engine.kill);
	const canceller = new AbortController();
	const answer = requestChatStream(engine.address, {...chat, signal: canceller.signal});
	await waitUntil(async () => engine.active() === 1 || undefined, {description: 'a run'});
	canceller.abort();
	const {done} = await answer;
	t.false(done);
	await waitUntil(async () => engine.active() === 0 || undefined, {description: 'the end of the run'});
	t.deepEqual(engine.runs.map(run => [run.completed, run.cancelled]), [[false, true]]);
});

test('a stalled request is cancelled when the caller times out', async t => {
	const engine = await startFakeEngine({models: [version], behaviour: {stall: true}});
	t.teardown(engine.kill);
	const {status} = await requestChat(engine.address, {...chat, timeoutMilliseconds: 100});
	t.is(status, 0);
	await waitUntil(async () => engine.runs[0]?.cancelled === true || undefined, {description: 'the cancelled run'});
	t.is(engine.runs.length, 1);
});

test('a refusal is not recorded as a run, a failure is, and both can be configured over HTTP', async t => {
	const engine = await startFakeEngine({models: [version]});
	t.teardown(engine.kill);
	const setBehaviour = async (behaviour: unknown) => sendRequest(`${engine.address}/test/behaviour`, {method: 'POST', body: JSON.stringify(behaviour)});
	await setBehaviour({refuseNotRun: true});
	const refused = await requestChat(engine.address, chat);
	t.is(refused.status, 503);
	t.is(refused.headers['valehitch-outcome'], 'notRun');
	t.is(engine.runs.length, 0);
	await setBehaviour({failStatus: 500});
	const failed = await requestChat(engine.address, chat);
	t.is(failed.status, 500);
	t.is(failed.headers['valehitch-outcome'], undefined);
	const {body} = await sendRequest(`${engine.address}/test/runs`);
	t.deepEqual(JSON.parse(body), engine.runs);
	t.is(engine.runs.length, 1);
	const unknown = await setBehaviour({unknown: 1});
	t.is(unknown.status, 400);
});

test('a version that is not loaded is refused as not run', async t => {
	const engine = await startFakeEngine({models: [version]});
	t.teardown(engine.kill);
	const {status, headers} = await requestChat(engine.address, {...chat, model: 'tag-small@9'});
	t.is(status, 503);
	t.is(headers['valehitch-outcome'], 'notRun');
});
