// Streams of a route with several models that may not be resumed; the small model is not sure of its answers.
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Deployment, ports, sleep} from '../lib/deployment.mjs';
import {Engine} from '../lib/engine.mjs';
import {call, order} from '../lib/http.mjs';
import {Record} from '../lib/record.mjs';

const confidence = process.env.TROUBLE === '0' ? '90' : '10';
const record = new Record(fileURLToPath(new URL('cascade-record.txt', import.meta.url)));
setTimeout(() => record.end(2, 'COULD NOT RUN: the time is over'), 110_000).unref();
const host = 'ficu95.example';
const key = 'n2ctnfzs989anu6wsjnb';
const configuration = {
	version: 1,
	routes: [{
		name: 'r-draft', host, pathPrefix: '/draft/', kind: 'streaming', timeoutMs: 5000, targetLatencyMs: 2000, targetGapMs: 1000, priority: 0, sizes: ['m0', 'm1'], service: 'trace-llm', maxAttempts: 3, public: false, sticky: true, resumable: false,
	}],
	services: [{name: 'trace-llm', healthPath: '/healthz', maxConns: 360, protocol: 'h1', tls: false, engine: {slots: 64, models: [{name: 'm0', cost: 0.018}, {name: 'm1', cost: 0.27}]}}],
	limits: {maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000},
	tenants: [{name: 'mills', apiKeys: [key], priority: 1}],
};

try {
	const deployment = await Deployment.create({fronts: 2});
	deployment.startAll();
	const engines = ['hall-a', 'hall-b', 'hall-c'].map((zone, index) => new Engine({
		id: `i-${index + 1}`, service: 'trace-llm', host: '127.0.0.1', zone, slots: 64, model: 'm0',
		async answer(run, response) {
			await sleep(run.model === 'm0' ? 50 : 120);
			response.writeHead(200, {'Attempt-Id': run.id, 'Response-Signature': `signed.${run.engine}.${run.id}`, 'Content-Type': 'text/event-stream', Confidence: run.model === 'm0' ? confidence : '90'});
			for (let index = 1; index <= 4; index++) {
				response.write(`id: ${index}\ndata: piece\n\n`);
				await sleep(60);
			}

			response.end();
		},
	}));
	for (const engine of engines) {
		await engine.start();
		engine.register(deployment.cores, {port: ports.control});
	}

	await order(deployment.cores, {path: '/-/config', body: configuration, port: ports.control});
	await sleep(3000);
	let twice = 0;
	for (let number = 1; number <= 20; number++) {
		const id = `a${String(number).padStart(15, '0')}`;
		const {status} = await call({
			host: deployment.fronts[number % 2].ip, port: ports.front, method: 'POST', path: `/draft/${number}`, body: 'draft', headers: {
				Host: host, 'Attempt-Id': id, 'Deadline-Ms': '5000', Model: '*', 'Token-Usage': '100,20', 'Prompt-Prefix': `ab:50,${number.toString(16)}:50`, Authorization: `Bearer ${key}`,
			},
		});
		const runs = engines.flatMap(engine => engine.runs).filter(run => run.id === id);
		twice += runs.length > 1 ? 1 : 0;
		record.add(`${id}: status ${status}, ran ${runs.map(({engine, model, at}) => `at ${engine} with ${model} at ${at}`).join(', ')}`);
	}

	deployment.stop();
	record.end(twice > 0 ? 1 : 0, `${twice > 0 ? 'TWICE' : 'HELD'}: ${twice} of 20 requests that may not be repeated ran more than once`);
} catch (error) {
	record.end(2, `COULD NOT RUN: ${error.stack}`);
}
