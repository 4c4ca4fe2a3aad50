import {createServer as createTcpServer, type AddressInfo} from 'node:net';
import {once} from 'node:events';
import {configurationSchema} from '@valehitch/core';
import test from 'ava';
import {digestOf} from './_settings-file.js';
import {generateFakeTokens} from './fake-answer.js';
import {startFakeEngine} from './fake-engine.js';
import {startFakeService} from './fake-service.js';
import {callService, requestChatStream, requestChat} from './http-client.js';
import {startNaiveRouter} from './naive-router.js';

const key = 'naive-key';
const messages = [{role: 'user', content: 'Tag this'}];
const document = configurationSchema.parse({
	models: {
		small: {
			versions: {
				v1: {state: 'withdrawn', quality: 0.95, prices: {input: 1, output: 1}},
				v2: {quality: 0.7, prices: {input: 1, output: 1}},
				v3: {quality: 0.9, prices: {input: 1, output: 1}},
			},
		},
	},
	services: {labels: {}},
	workspaces: {
		desk: {
			keyDigests: [digestOf(key)], allowed: {small: ['v1', 'v2', 'v3']}, services: ['labels'], policy: [{name: 'any', models: ['small'], qualityTarget: 0.8}],
		},
	},
});

test('the first version that meets the target serves, and an error is retried on another engine', async t => {
	const broken = await startFakeEngine({models: ['small@v3'], behaviour: {failStatus: 500}});
	const healthy = await startFakeEngine({models: ['small@v3']});
	const router = await startNaiveRouter({document, servers: [broken, healthy].map(({address}) => ({address, models: ['small@v3']}))});
	t.teardown(async () => {
		await Promise.all([router.close(), broken.kill(), healthy.kill()]);
	});
	const expectedText = generateFakeTokens({version: 'small@v3', messages, tokens: 16}).join('');
	t.like(await requestChat(router.address, {key, messages}), {status: 200, text: expectedText, done: true});
	t.like(await requestChatStream(router.address, {key, messages}), {status: 200, text: expectedText, done: true});
	t.true(broken.runs.length > 0);
	t.like(await requestChat(router.address, {key: 'other', messages}), {status: 401});
});

test('a label print that fails after it ran is run again, the failure that valehitch prevents', async t => {
	const cutting = await startFakeService({behaviour: {cutAfterTokens: 0}});
	const healthy = await startFakeService();
	const router = await startNaiveRouter({document, servers: [cutting, healthy].map(({address}) => ({address, service: 'labels'}))});
	t.teardown(async () => {
		await Promise.all([router.close(), cutting.kill(), healthy.kill()]);
	});
	t.like(await callService(router.address, {
		key, service: 'labels', path: '/print', body: '{}', headers: {'Idempotency-Key': 'print-1'},
	}), {status: 200});
	t.is(cutting.countRuns('print-1') + healthy.countRuns('print-1'), 2);
});

test('an engine whose response ends in invalid data does not crash the router', async t => {
	const engine = createTcpServer(socket => {
		socket.once('data', () => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n: \r\nno chunk\r\n');
		});
	}).listen(0, '127.0.0.1');
	await once(engine, 'listening');
	const {port} = engine.address() as AddressInfo;
	const router = await startNaiveRouter({document, servers: [{address: `http://127.0.0.1:${port}`, models: ['small@v3']}]});
	t.teardown(async () => {
		await router.close();
		engine.close();
	});
	const {done} = await requestChatStream(router.address, {key, messages});
	t.false(done);
	t.like(await requestChat(router.address, {key: 'other', messages}), {status: 401});
});
