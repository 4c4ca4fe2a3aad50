// An engine in a process of its own, so that it can be killed: streams an event each `gapMs`, by default as an answer without a length that ends with its channel.
import {once} from 'node:events';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Engine} from './engine.mjs';

const {id, service, host, port, zone, model, cores, controlPort, events, gapMs, isFramed, waits} = JSON.parse(process.argv[2]);
const engine = new Engine({
	id, service, host, zone, model, slots: 64,
	async answer(run, response) {
		process.stdout.write(`${JSON.stringify({type: 'run', id: run.id, path: run.path, after: run.headers['last-event-id'], engine: id, at: run.at})}\n`);
		if (!isFramed) {
			response.shouldKeepAlive = false;
			response.removeHeader('Transfer-Encoding');
		}

		response.writeHead(200, {'Attempt-Id': run.id, 'Response-Signature': `signed.${id}.${run.id}`, 'Content-Type': 'text/event-stream', Confidence: '90'});
		for (let index = Number(run.headers['last-event-id'] ?? 0) + 1; index <= events; index++) {
			response.write(`id: ${index}\ndata: piece ${index} of ${events} for ${run.path}\n\n`);
			await sleep(gapMs);
		}

		response.end();
	},
});
if (waits) {
	// Loading the program takes a while; the engine starts when it is told to.
	await once(process.stdin, 'data');
	process.stdin.unref();
}

await engine.start(port);
engine.register(cores, {port: controlPort});
process.stdout.write(`${JSON.stringify({type: 'started', id, port: engine.port})}\n`);
