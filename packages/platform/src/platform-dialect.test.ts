import {type IncomingMessage} from 'node:http';
import {failure, type ModelId, type ServerId} from '@valehitch/core';
import {type AnswerHead, type GatewayRequest} from '@valehitch/gateway';
import test from 'ava';
import {platformDialect} from './platform-dialect.js';

/** Creates a message with the properties that the dialect reads. */
function message(pairs: ReadonlyArray<readonly [string, string]>): IncomingMessage {
	const headers = Object.fromEntries(pairs.map(([name, value]) => [name.toLowerCase(), value]));
	const parts: Pick<IncomingMessage, 'headers' | 'rawHeaders' | 'url' | 'method'> = {
		headers, rawHeaders: pairs.flat(), url: '/lohu/2f?a=1', method: 'POST',
	};
	return parts as IncomingMessage;
}

const caller = message([
	['Host', 'desk.example:80'],
	['Attempt-Id', 'a1'],
	['Model', '*'],
	['Token-Usage', '1460,80'],
	['Prompt-Prefix', '5c:800, 91:410,e4:250'],
	['Deadline-Ms', '8000'],
	['Authorization', 'Bearer secret'],
	['Connection', 'keep-alive, X-Hop'],
	['X-Hop', '1'],
	['X-Own', '2'],
	['Hold', 'h'],
	['Pin-Ms', '9'],
	['Kv-From', 'x'],
	['Kv-Backup', 'x'],
	['Kv-Fetch', 'x'],
	['Tenant', 'other'],
	['Request-Priority', '0'],
	['Expect-Instance', 'i-1'],
	['Expect-Version', '3'],
	['Session', 's1'],
]);

test('a request is parsed into typed fields', t => {
	t.like(platformDialect.readRequest(caller), {
		id: 'a1', host: 'desk.example', path: '/lohu/2f', target: '/lohu/2f?a=1', key: 'secret', timeout: 8000, choosesModel: true, promptParts: [
			{id: '5c', tokens: 800},
			{id: '91', tokens: 410},
			{id: 'e4', tokens: 250},
		], inputTokens: 1460, outputTokens: 80, session: 's1', lastEventId: undefined,
	} satisfies Partial<GatewayRequest>);
});

test('a number of tokens that is negative, infinite or beyond what any model reads does not reach the estimates of other requests', t => {
	const countOf = (usage: string): number => platformDialect.readRequest(message([['Token-Usage', usage]])).inputTokens;
	t.deepEqual(['-5000,3', 'Infinity,3', '1e300,3', 'NaN,3', '', '12000,3'].map(usage => countOf(usage)), [0, 4_194_304, 4_194_304, 0, 0, 12_000]);
});

test('the estimated length of an answer is read, and one that is none is left out', t => {
	const lengthOf = (...headers: ReadonlyArray<readonly [string, string]>): number | undefined => platformDialect.readRequest(message(headers)).expectedTokens;
	t.is(lengthOf(['Length-Hint', '340']), 340);
	t.is(lengthOf(['Length-Hint', 'many']), undefined);
	t.is(lengthOf(['Length-Hint', '-4']), undefined);
	t.is(lengthOf(), undefined);
});

test('a server gets neither the API key nor the caller\'s values of reserved headers, and gets those of the gateway once', t => {
	const request = platformDialect.readRequest(caller);
	const sent = platformDialect.sendHeaders(request, {
		server: 'i-7', model: 'small' as ModelId, timeout: 7500, workspace: 'mills', urgency: 1, lastEventId: '12', keepsConnection: true,
	});
	const names = sent.map(([name]) => name.toLowerCase()).toSorted();
	t.deepEqual(names, [
		'attempt-id',
		'connection',
		'deadline-ms',
		'expect-instance',
		'host',
		'last-event-id',
		'model',
		'prompt-prefix',
		'request-priority',
		'session',
		'tenant',
		'token-usage',
		'x-own',
	]);
	const values = Object.fromEntries(sent.map(([name, value]) => [name.toLowerCase(), value]));
	t.like(values, {
		tenant: 'mills', model: 'small', 'expect-instance': 'i-7', 'deadline-ms': '7500', 'last-event-id': '12',
	});
});

test('a request without a workspace has no tenant header, even if the caller sent one', t => {
	const request = platformDialect.readRequest(caller);
	const sent = platformDialect.sendHeaders(request, {
		server: 'i-7', model: undefined, timeout: 7500, workspace: undefined, urgency: undefined, lastEventId: undefined, keepsConnection: false,
	});
	t.false(sent.some(([name]) => ['tenant', 'hold', 'request-priority'].includes(name.toLowerCase())));
});

test('a request counts as not run only if the server states it', t => {
	t.like(platformDialect.readAnswer(503, {'not-executed': '1'}), {isNotRun: true, isFromOtherServer: false} satisfies Partial<AnswerHead>);
	t.like(platformDialect.readAnswer(421, {'instance-id': 'i-2'}), {isNotRun: true, isFromOtherServer: true} satisfies Partial<AnswerHead>);
	t.like(platformDialect.readAnswer(503, {}), {isNotRun: false});
	t.like(platformDialect.readAnswer(200, {'response-signature': 's', confidence: '31', 'attempt-id': 'a1'}), {
		isSigned: true, confidence: 31, requestId: 'a1', isEncoded: false,
	});
});

test('a refusal has a Retry-After header in fractional seconds', t => {
	const {status, headers} = platformDialect.refuse(platformDialect.readRequest(caller), failure('overloaded', 'The queue is full', {retryAfterMilliseconds: 250}));
	t.is(status, 503);
	t.deepEqual(headers.find(([name]) => name === 'Retry-After'), ['Retry-After', '0.25']);
});

test('a health check names the expected server, and only the answer of another one counts as not its own', t => {
	const server = 'i-7' as ServerId;
	t.deepEqual(platformDialect.identityHeaders({id: server, host: '10.0.0.7', port: 8740}), [['Host', '10.0.0.7:8740'], ['Expect-Instance', 'i-7'], ['Connection', 'close']]);
	t.true(platformDialect.isAnswerOf(server, {status: 200, headers: {'instance-id': 'i-7'}}));
	t.true(platformDialect.isAnswerOf(server, {status: 503, headers: {}}));
	t.false(platformDialect.isAnswerOf(server, {status: 421, headers: {}}));
	t.false(platformDialect.isAnswerOf(server, {status: 200, headers: {'instance-id': 'i-8'}}));
});

test('an answer in a transfer coding other than chunks is not passed on as if it were the body of its server', t => {
	for (const coding of ['gzip, chunked', 'gzip', 'chunked, gzip', 'x']) {
		t.true(platformDialect.readAnswer(200, {'response-signature': 's', 'attempt-id': 'a1', 'transfer-encoding': coding}).isEncoded, `as ${coding}`);
	}

	for (const headers of [{'transfer-encoding': 'Chunked'}, {'transfer-encoding': 'chunked '}, {}]) {
		t.false(platformDialect.readAnswer(200, {'response-signature': 's', 'attempt-id': 'a1', ...headers}).isEncoded);
	}
});
