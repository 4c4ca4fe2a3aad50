// One of three control processes is killed while the system starts for the first time, and is back a second later.
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Deployment, ports, sleep} from '../lib/deployment.mjs';
import {Engine} from '../lib/engine.mjs';
import {call} from '../lib/http.mjs';
import {Record} from '../lib/record.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const record = new Record(fileURLToPath(new URL('first-start-record.txt', import.meta.url)));
setTimeout(() => record.end(2, 'COULD NOT RUN: the time is over'), 110_000).unref();
/** Values of the sheet of cfmsu-coiltrace. */
const connectivityWindowMs = 3000;
const ackMs = 4000;
/** When the process is killed after its start, and how long it is down. */
const killedAfterMs = 250;
const downMs = 1000;
/** How long the operator goes on sending. */
const triedMs = 45_000;
const host = 'ficu95.example';
const key = 'n2ctnfzs989anu6wsjnb';
const configuration = JSON.stringify({
	version: 1,
	routes: [{name: 'r-lookup', host, pathPrefix: '/lookup/', kind: 'safe', timeoutMs: 3000, targetLatencyMs: 200, priority: 1, service: 'coil-app', maxAttempts: 3, public: false}],
	services: [{name: 'coil-app', healthPath: '/healthz', maxConns: 100, protocol: 'h1', tls: false}],
	limits: {maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000},
	tenants: [{name: 'mills', apiKeys: [key], priority: 1}],
});

try {
	const deployment = await Deployment.create({fronts: 2});
	const startedAt = Date.now();
	const since = () => `${((Date.now() - startedAt) / 1000).toFixed(1)} s`;
	deployment.startAll({bootstrap: true});
	record.add('3 control and 2 entry processes start for the first time, with empty folders and bootstrap: true');
	const engines = ['hall-a', 'hall-b', 'hall-c'].map((zone, index) => new Engine({id: `i-${index + 1}`, service: 'coil-app', host: '127.0.0.1', zone, slots: 6}));
	for (const engine of engines) {
		await engine.start();
		engine.register(deployment.cores, {port: ports.control});
	}

	let calmFrom = startedAt + connectivityWindowMs;
	if (hasTrouble) {
		const [core] = deployment.cores;
		await sleep(startedAt + killedAfterMs - Date.now());
		core.child.kill('SIGKILL');
		record.add(`${since()}: ${core.name} is killed`);
		await sleep(downMs);
		// It is not the whole system that starts now, so `bootstrap` is false; the disk is as it was.
		deployment.start(core, {bootstrap: false});
		record.add(`${since()}: ${core.name} is back, with its folder as it was and bootstrap: false`);
		calmFrom = Date.now() + connectivityWindowMs;
	}

	let acknowledgedAt;
	let tries = 0;
	let served = 0;
	const answers = {};
	const requests = {};
	while (acknowledgedAt === undefined && Date.now() < startedAt + triedMs) {
		for (const core of deployment.cores) {
			const {status} = await call({host: core.ip, port: ports.control, method: 'PUT', path: '/-/config', headers: {'Content-Type': 'application/json'}, body: configuration, timeout: 1000});
			tries++;
			answers[`${core.name} ${status}`] = (answers[`${core.name} ${status}`] ?? 0) + 1;
			if (status === 200) {
				acknowledgedAt = Date.now();
				record.add(`${since()}: ${core.name} acknowledges the config, after ${tries} tries`);
				break;
			}
		}

		await sleep(200);
	}

	const callers = async () => {
		for (const {ip} of deployment.fronts) {
			const id = `a${String(Date.now()).padStart(15, '0')}`;
			const {status} = await call({host: ip, port: ports.front, path: '/lookup/1', headers: {Host: host, 'Attempt-Id': id, 'Deadline-Ms': '3000', Authorization: `Bearer ${key}`}});
			requests[status] = (requests[status] ?? 0) + 1;
			served += status === 200 ? 1 : 0;
		}
	};

	for (let round = 0; round < 10; round++) {
		await callers();
		await sleep(300);
	}

	record.add(`${since()}: the operator's tries by machine and status: ${JSON.stringify(answers)}; 0 is no response in a second`);
	record.add(`${since()}: lookups of requesters by status: ${JSON.stringify(requests)}`);
	record.add(`${since()}: all processes run: ${deployment.machines.every(({child}) => child !== undefined)}`);
	const waited = (acknowledgedAt ?? Date.now()) - calmFrom;
	for (const engine of engines) {
		engine.stop();
	}

	deployment.stop();
	const isBroken = waited > ackMs;
	const text = acknowledgedAt === undefined ? `the config has no acknowledgement ${(waited / 1000).toFixed(1)} s after the core was stable, in ${tries} tries` : `the config was acknowledged ${((acknowledgedAt - startedAt) / 1000).toFixed(1)} s after the start`;
	record.end(isBroken ? 1 : 0, `${isBroken ? 'ACKS BROKEN' : 'HELD'}: ${text}; ${served} lookups served`);
} catch (error) {
	record.end(2, `COULD NOT RUN: ${error.stack}`);
}
