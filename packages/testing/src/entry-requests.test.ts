import {once} from 'node:events';
import {connect} from 'node:net';
import {text as readText} from 'node:stream/consumers';
import test from 'ava';
import {callerKeys, startEntryDeployment} from './_entry-deployment.js';
import {requestChat} from './http-client.js';
import {sendRequest, type TextResponse} from './send-request.js';

const limits = {bodyBytes: 4096, headerBytes: 4096};
const goodBody = JSON.stringify({model: 'auto', messages: [{role: 'user', content: 'Tag coil 7'}]});
const yard = {authorization: `Bearer ${callerKeys.yard}`};

type Case = {
	readonly name: string;
	readonly status: number;
	readonly kind: string;
	readonly method?: string;
	readonly path?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
};

const chat = (body: unknown) => JSON.stringify({model: 'auto', messages: [{role: 'user', content: 'Tag'}], ...body as Record<string, unknown>});
const malformed = {status: 400, kind: 'malformed-request'} as const;
const cases: readonly Case[] = [
	{name: 'a body that is not JSON', ...malformed, body: '{"model": "auto", '},
	{name: 'an empty body', ...malformed, body: ''},
	{name: 'a body of control characters', ...malformed, body: '\u0000\u0001'},
	{name: 'a body that is a list', ...malformed, body: '[]'},
	{name: 'messages of the wrong type', ...malformed, body: chat({messages: 'Tag'})},
	{name: 'no messages', ...malformed, body: chat({messages: []})},
	{name: 'max_tokens as text', ...malformed, body: chat({[`max${'_'}tokens`]: '16'})},
	{name: 'stream as text', ...malformed, body: chat({stream: 'yes'})},
	{
		name: 'a body that is too large', status: 413, kind: 'too-large', body: chat({filler: 'x'.repeat(5000)}),
	},
	{
		name: 'a model that is not configured', status: 404, kind: 'unknown-model', body: chat({model: 'no-such-model'}),
	},
	{
		name: 'a model named like a member of every object', status: 404, kind: 'unknown-model', body: chat({model: 'constructor'}),
	},
	{
		name: 'no key', status: 401, kind: 'unauthenticated', headers: {authorization: ''},
	},
	{
		name: 'a wrong key', status: 401, kind: 'unauthenticated', headers: {authorization: 'Bearer wrong'},
	},
	{
		name: 'another scheme', status: 401, kind: 'unauthenticated', headers: {authorization: 'Basic eWFyZDp5YXJk'},
	},
	{
		name: 'a session token that no instance issued', status: 422, kind: 'session-invalid', headers: {'Valehitch-Session': 'k1~e30~AAAA'},
	},
	{name: 'a session token with a space', ...malformed, headers: {'Valehitch-Session': 'a b'}},
	{name: 'an idempotency key with a space', ...malformed, headers: {'Idempotency-Key': 'print 7'}},
	{name: 'an empty idempotency key', ...malformed, headers: {'Idempotency-Key': ''}},
	{name: 'an idempotency key of 257 characters', ...malformed, headers: {'Idempotency-Key': 'k'.repeat(257)}},
	{name: 'a deadline that is not a number', ...malformed, headers: {'Valehitch-Deadline-Milliseconds': 'soon'}},
	{name: 'a deadline of 0', ...malformed, headers: {'Valehitch-Deadline-Milliseconds': '0'}},
	{name: 'a deadline with a fraction', ...malformed, headers: {'Valehitch-Deadline-Milliseconds': '1.5'}},
	{
		name: 'headers that are too large', status: 431, kind: 'headers-too-large', headers: {filler: 'x'.repeat(6000)},
	},
	{
		name: 'another method', status: 405, kind: 'method-not-allowed', method: 'PUT',
	},
	{
		name: 'another path', status: 404, kind: 'not-found', path: '/v1/no-such-call',
	},
	{
		name: 'a service that is not configured', status: 404, kind: 'not-found', path: '/services/no-such-service/print',
	},
	{
		name: 'a service named like a member of every object', status: 404, kind: 'not-found', path: '/services/constructor/print',
	},
	{
		name: 'a service that the workspace may not use', status: 403, kind: 'forbidden', path: '/services/closed/print',
	},
];

test('each malformed request gets its specific error with the outcome notRun, and nothing runs', async t => {
	const entry = await startEntryDeployment(t, {engines: 1, settings: {limits}});
	const send = async (testCase: Case): Promise<TextResponse> => sendRequest(`${entry.callers(1)}${testCase.path ?? '/v1/chat/completions'}`, {
		method: testCase.method ?? 'POST', headers: {...yard, ...testCase.headers}, body: testCase.body ?? goodBody,
	});
	for (const testCase of cases) {
		const {status, body} = await send(testCase);
		const {kind, outcome} = JSON.parse(body) as {kind: string; outcome: string};
		t.deepEqual([testCase.name, status, kind, outcome], [testCase.name, testCase.status, testCase.kind, 'notRun']);
	}

	for (const name of ['Idempotency-Key', 'Valehitch-Session', 'Valehitch-Class', 'Valehitch-Deadline-Milliseconds', 'Authorization']) {
		const answer = await sendRaw(entry.daemon(1).ports.callers, [`${name}: Bearer-1`, `${name}: Bearer-2`]);
		t.deepEqual([name, /^HTTP\/1\.1 400 .*malformed-request.*notRun/sv.test(answer)], [name, true]);
	}

	t.regex(await sendRaw(entry.daemon(1).ports.callers, ['Content-Length: 5', 'Content-Length: 6']), /^HTTP\/1\.1 400 /v);
	const issued = await requestChat(entry.callers(1), {key: callerKeys.yard, messages: [{role: 'user', content: 'Begin'}], headers: {'Valehitch-Session': 'new'}});
	t.is(issued.status, 200);
	const token = String(issued.headers['valehitch-session']);
	const stolen = await requestChat(entry.callers(2), {key: callerKeys.mill, messages: [{role: 'user', content: 'Go on'}], headers: {'Valehitch-Session': token}});
	t.deepEqual([stolen.status, stolen.problem?.kind, stolen.problem?.outcome], [422, 'session-invalid', 'notRun']);
	const resumed = await requestChat(entry.callers(2), {key: callerKeys.yard, messages: [{role: 'user', content: 'Go on'}], headers: {'Valehitch-Session': token}});
	t.is(resumed.status, 200);
	const runs = [...await entry.runs('engine-1'), ...await entry.runs('labels-1')];
	t.deepEqual(runs.map(({requestId}) => requestId), [issued.requestId, resumed.requestId]);
});

async function sendRaw(port: number, headers: readonly string[]): Promise<string> {
	const socket = connect(port, '127.0.0.1');
	await once(socket, 'connect');
	const lines = ['POST /v1/chat/completions HTTP/1.1', 'Host: callers', 'Connection: close', ...headers];
	if (!headers.some(header => header.startsWith('Content-Length'))) {
		lines.push('Content-Length: 0');
	}

	socket.write(`${lines.join('\r\n')}\r\n\r\n`);
	return readText(socket);
}
