import {setTimeout as delay} from 'node:timers/promises';
import {type ServerId, toId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {type RouteId} from '../configuration/routing-configuration.js';
import {testServer} from '../servers/_test-server.js';
import {type ServerRecord} from '../servers/server-record.js';
import {startTestEntry} from './_test-entry-instance.js';
import {testRequest} from './_test-request.js';
import {listen} from './_test-run.js';

const freshMilliseconds = 400;
/** Longer than a poll waits for its reply. */
const neverMilliseconds = 60_000;
const added = testRoute({id: toId<RouteId>('added'), pathPrefix: '/added/'});

/** Starts an instance whose polls are held once `holdNews` was called; control instances that are in contact answer urgent polls. */
async function startWithLateNews(t: ExecutionContext, {isInContact}: {readonly isInContact: boolean}) {
	const runs = new Map<string, number>();
	const listenAs = async (id: string): Promise<number> => listen(t, (_request, response) => {
		runs.set(id, (runs.get(id) ?? 0) + 1);
		response.writeHead(200, {signature: id});
		response.end(id);
	});
	const servers = ['leaving', 'staying'].map(id => toId<ServerId>(id));
	const records = await Promise.all(servers.map(async id => testServer({id, port: await listenAs(id)})));
	let isHeld = false;
	let reported = records;
	const {port, changeRoutes} = await startTestEntry(t, {
		records,
		recordsOf: () => reported,
		routes: [testRoute()],
		freshMilliseconds,
		leaseMilliseconds: 60_000,
		random: Math.random,
		dialect: {
			readRequest: message => testRequest({path: message.url ?? '/', target: message.url ?? '/', timeout: 8000}),
		},
		async beforeReply({isUrgent}) {
			const isWithheld = isHeld && !(isUrgent && isInContact);
			await delay(isWithheld ? neverMilliseconds : 20, undefined, {ref: false});
		},
	});
	return {
		runs,
		holdNews() {
			isHeld = true;
		},
		addRoute() {
			changeRoutes([testRoute(), added]);
		},
		drainServer() {
			const [leaving, staying] = records as [ServerRecord, ServerRecord];
			reported = [{...leaving, state: 'draining', sequence: leaving.sequence + 1}, staying];
		},
		async get(path: string): Promise<number> {
			const response = await fetch(`http://127.0.0.1:${port}${path}`);
			await response.arrayBuffer();
			return response.status;
		},
	};
}

test('a route that was added while news was late is not refused with 404: it is asked for', async t => {
	const {get, holdNews, addRoute} = await startWithLateNews(t, {isInContact: true});
	holdNews();
	await delay(100);
	addRoute();
	await delay(2 * freshMilliseconds);
	t.is(await get('/added/1'), 200);
});

test('an instance that is cut off refuses an unknown route for now, and serves the known ones', async t => {
	const {get, holdNews, addRoute} = await startWithLateNews(t, {isInContact: false});
	holdNews();
	await delay(100);
	addRoute();
	await delay(2 * freshMilliseconds);
	t.is(await get('/added/1'), 503);
	t.is(await get('/labels/1'), 200);
});

test('no request is sent to a server whose shutdown was told while news was late', async t => {
	const {get, holdNews, drainServer, runs} = await startWithLateNews(t, {isInContact: true});
	holdNews();
	await delay(100);
	drainServer();
	await delay(2 * freshMilliseconds);
	const statuses = await Promise.all(Array.from({length: 32}, async () => get('/labels/1')));
	t.deepEqual(new Set(statuses), new Set([200]));
	t.is(runs.get('leaving'), undefined);
});
