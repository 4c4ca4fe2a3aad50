// A caller sends lookups with a body by GET. The body holds, as a body may, text that looks like a request.
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Deployment, ports, sleep} from '../lib/deployment.mjs';
import {Engine} from '../lib/engine.mjs';
import {call, order} from '../lib/http.mjs';
import {Record} from '../lib/record.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const watchdog = setTimeout(() => record.end(2, 'COULD NOT RUN: the time is over'), 100_000);
watchdog.unref();
const host = 'ficu95.example';
const keys = {mills: 'n2ctnfzs989anu6wsjnb', yards: 'anfqasnmgkcuyj8pjbvk'};
const configuration = {
	version: 1,
	routes: [{name: 'r-lookup', host, pathPrefix: '/lookup/', kind: 'safe', timeoutMs: 3000, targetLatencyMs: 200, priority: 1, service: 'coil-app', maxAttempts: 3, public: false}],
	services: [{name: 'coil-app', healthPath: '/healthz', maxConns: 100, protocol: 'h1', tls: false}],
	limits: {maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000},
	tenants: [{name: 'mills', apiKeys: [keys.mills], priority: 1}, {name: 'yards', apiKeys: [keys.yards], priority: 1}],
};

try {
	const deployment = await Deployment.create({fronts: 2});
	deployment.startAll();
	const engines = ['i-1', 'i-2', 'i-3'].map((id, index) => new Engine({id, service: 'coil-app', host: '127.0.0.1', zone: `hall-${'abc'[index]}`, slots: 6}));
	for (const engine of engines) {
		await engine.start();
		engine.register(deployment.cores, {port: ports.control});
	}

	const acknowledged = await order(deployment.cores, {path: '/-/config', body: configuration, port: ports.control});
	record.add(`config 1: ${acknowledged.status}`);
	/** What was sent, by `Attempt-Id`. */
	const sent = new Map();
	let count = 0;
	const send = async body => {
		const id = `a${String(++count).padStart(15, '0')}`;
		const {ip} = deployment.fronts[count % 2];
		const path = `/lookup/${count}?q=1`;
		sent.set(id, {method: 'GET', path, tenant: 'mills', body: body ?? ''});
		const answer = await call({host: ip, port: ports.front, method: 'GET', path, body, headers: {Host: host, 'Attempt-Id': id, 'Deadline-Ms': '3000', Authorization: `Bearer ${keys.mills}`}});
		record.add(`sent ${id} GET ${path} of mills with ${Buffer.byteLength(body ?? '')} bytes; answer ${answer.status} ${answer.isComplete ? 'complete' : 'not complete'}`);
		return answer;
	};

	// The programs are up when lookups without a body are answered.
	const until = Date.now() + 40_000;
	while ((await send()).status !== 200) {
		if (Date.now() > until) {
			record.end(2, 'COULD NOT RUN: no lookup was answered in 40 s');
		}

		await sleep(300);
	}

	for (let index = 0; index < 10; index++) {
		await send(hasTrouble ? JSON.stringify({coil: `c-${index}`, fields: ['heat', 'mill']}) : undefined);
	}

	for (let index = 0; index < 10; index++) {
		const text = `POST /lookup/hidden-${index} HTTP/1.1\r\nHost: ${host}\r\nAttempt-Id: hidden-${index}\r\nTenant: yards\r\nContent-Length: 4\r\n\r\nwipe`;
		await send(hasTrouble ? text : undefined);
	}

	await sleep(500);
	const runs = engines.flatMap(engine => engine.runs);
	let changed = 0;
	let unasked = 0;
	for (const {id, method, path, tenant, body, engine} of runs) {
		const asked = sent.get(id);
		const verdict = asked === undefined ? 'NOBODY SENT IT' : (asked.method === method && asked.path === path && asked.tenant === tenant && asked.body === body ? 'as sent' : 'CHANGED');
		unasked += asked === undefined ? 1 : 0;
		changed += verdict === 'CHANGED' ? 1 : 0;
		record.add(`run at ${engine}: ${id} ${method} ${path} tenant ${tenant} body of ${Buffer.byteLength(body)} bytes: ${verdict}`);
	}

	for (const engine of engines) {
		engine.stop();
	}

	deployment.stop();
	const summary = `${sent.size} requests sent, ${runs.length} run; ${unasked} that nobody sent, ${changed} with another body than sent`;
	record.end(unasked + changed > 0 ? 1 : 0, `${unasked + changed > 0 ? 'UNASKED BROKEN' : 'HELD'}: ${summary}`);
} catch (error) {
	record.end(2, `COULD NOT RUN: ${error.stack}`);
}
