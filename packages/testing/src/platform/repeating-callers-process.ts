#!/usr/bin/env node
/**
Run as a process of its own with an IPC channel: callers that send one request after another, and read the answers.

@module
*/
import {request as openRequest} from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {type RepeatingCallersOptions} from './repeating-callers.js';

const {address, host, path, headers, method, count, requestsEach, pause, timeout} = JSON.parse(process.argv[2]!) as RepeatingCallersOptions;
const [hostname, port] = address.split(':');
let requests = 0;
process.on('disconnect', () => {
	process.exit();
});
process.send?.({type: 'listening', port: 0});
await Promise.all(Array.from({length: count}, async () => {
	for (let index = 0; index < requestsEach; index++) {
		await send();
		await delay(pause);
	}
}));

/** Sends a request, and waits until its answer has ended. */
async function send(): Promise<void> {
	requests++;
	return new Promise(resolve => {
		const request = openRequest({
			hostname, port, method, path: `${path}${requests}`, agent: false, headers: {
				Host: host, 'Content-Length': '0', 'Attempt-Id': `f${requests}`, ...headers,
			},
		});
		request.setTimeout(timeout);
		const timer = setTimeout(() => {
			request.destroy();
		}, timeout);
		request.on('response', message => {
			message.on('error', () => undefined);
			message.resume();
		});
		request.on('error', () => undefined);
		request.on('close', () => {
			clearTimeout(timer);
			resolve();
		});
		request.end();
	});
}
