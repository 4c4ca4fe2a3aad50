import {setTimeout as delay} from 'node:timers/promises';
import {type ServerId, type ServiceId, toId} from '@valehitch/core';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {startTestEntry} from './_test-entry-instance.js';
import {listen} from './_test-run.js';

const labels = {id: toId<ServiceId>('labels'), maximumConnections: 100, models: []};
const healthPath = '/healthz';
/** Longer than the pause after which an end of a connection may be old. */
const pauseMilliseconds = 1200;

const changes = [
	['removes its service', []],
	['removes its health check', [labels]],
	['moves its health check', [{...labels, healthPath: '/ready'}]],
] as const;

for (const kind of ['unsafe', 'streaming'] as const) {
	for (const [change, services] of changes) {
		test(`an answer of kind ${kind} that ends with its connection is forwarded whole though a configuration ${change} meanwhile`, async t => {
			const record = testServer();
			const body = kind === 'unsafe' ? 'done' : 'id: 1\ndata: one\n\n';
			const begins: Array<() => void> = [];
			const serverPort = await listen(t, ({url}, response) => {
				if (url === healthPath) {
					response.writeHead(200, {server: record.id}).end();
					return;
				}

				if (url !== '/labels/7') {
					response.writeHead(404).end();
					return;
				}

				response.useChunkedEncodingByDefault = false;
				response.shouldKeepAlive = false;
				begins.push(() => {
					response.writeHead(200, kind === 'unsafe' ? {} : {'Content-Type': 'text/event-stream'});
					response.end(body);
				});
			});
			const adopted: unknown[] = [];
			const {port, changeServices} = await startTestEntry(t, {
				records: [{...record, port: serverPort}],
				routes: [testRoute({
					kind, isPublic: true, timeout: 30_000, targetLatency: 10_000,
				})],
				services: [{...labels, healthPath}],
				log(event, {version}) {
					if (event === 'configuration-adopted') {
						adopted.push(version);
					}
				},
			});
			const answer = fetch(`http://127.0.0.1:${port}/labels/7`, {method: 'POST', body: 'label'});
			while (begins.length === 0) {
				await delay(20);
			}

			changeServices({services});
			await delay(pauseMilliseconds);
			t.deepEqual(adopted, [1, 2]);
			begins[0]!();
			const received = await answer;
			t.is(received.status, 200);
			t.is(await received.text(), body);
		});
	}
}

test('an answer that ends with its connection is forwarded whole by a second server though a configuration removes its service before', async t => {
	const record = testServer();
	const requests: Array<() => void> = [];
	const serverPort = await listen(t, ({url}, response) => {
		if (url === healthPath) {
			response.writeHead(200, {server: record.id}).end();
			return;
		}

		response.useChunkedEncodingByDefault = false;
		response.shouldKeepAlive = false;
		requests.push(() => {
			response.end('done');
		});
	});
	const brokenPort = await listen(t, (_message, response) => {
		requests.push(() => {
			response.destroy();
		});
	});
	const adopted: unknown[] = [];
	const {port, changeServices} = await startTestEntry(t, {
		records: [{...record, port: serverPort}, testServer({id: toId<ServerId>('server-2'), port: brokenPort, slots: 80})],
		routes: [testRoute({isPublic: true, timeout: 30_000, targetLatency: 10_000})],
		services: [{...labels, healthPath}],
		log(event, {version}) {
			if (event === 'configuration-adopted') {
				adopted.push(version);
			}
		},
	});
	const answer = fetch(`http://127.0.0.1:${port}/labels/7`);
	while (requests.length === 0) {
		await delay(20);
	}

	changeServices({services: []});
	while (adopted.length < 2) {
		await delay(20);
	}

	requests[0]!();
	while (requests.length < 2) {
		await delay(20);
	}

	await delay(pauseMilliseconds);
	requests[1]!();
	const received = await answer;
	t.is(received.status, 200);
	t.is(await received.text(), 'done');
});
