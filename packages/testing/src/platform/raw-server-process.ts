#!/usr/bin/env node
/**
Run as a process of its own with an IPC channel: a backend server that sends the bytes that its parent process chooses, and then ends as its parent process says.

@module
*/
import {type AddressInfo, createServer, type Socket} from 'node:net';
import process from 'node:process';
import {type RawAnswer, type RawServerMessage} from './raw-server.js';

const [id = ''] = process.argv.slice(2);
/** The time between the last byte and the end, in milliseconds. */
const flushMilliseconds = 20;
const waiting = new Map<number, (answer: RawAnswer) => void>();
let requests = 0;

process.on('message', ({request, ...answer}: RawAnswer & {readonly request: number}) => {
	waiting.get(request)?.(answer);
	waiting.delete(request);
});
process.on('disconnect', () => {
	process.exit();
});

const server = createServer(socket => {
	let received = '';
	let isKept = false;
	socket.setNoDelay(true);
	socket.on('error', () => {
		socket.destroy();
	});
	socket.on('data', chunk => {
		received += String(chunk);
		// The requests of the tests have no body.
		for (let end = received.indexOf('\r\n\r\n'); end !== -1; end = received.indexOf('\r\n\r\n')) {
			const head = received.slice(0, end);
			received = received.slice(end + 4);
			handle(head, {socket, isKept});
			isKept = true;
		}
	});
});
server.listen(0, '127.0.0.1', () => {
	send({type: 'listening', port: (server.address() as AddressInfo).port});
});

function send(message: RawServerMessage): void {
	process.send?.(message);
}

function handle(head: string, {socket, isKept}: {readonly socket: Socket; readonly isKept: boolean}): void {
	if (headerOf(head, 'expect-instance') !== id) {
		socket.write(`HTTP/1.1 421 Other\r\nInstance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
		return;
	}

	const [method = '', path = ''] = head.split(' ');
	if (path === '/healthz') {
		socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
		return;
	}

	requests++;
	waiting.set(requests, answer => {
		socket.write(answer.text, () => {
			setTimeout(end, flushMilliseconds, answer.end, socket);
		});
	});
	send({
		type: 'run', request: requests, method, path, id: headerOf(head, 'attempt-id') ?? '', isKept,
	});
}

function headerOf(head: string, name: string): string | undefined {
	for (const line of head.split('\r\n').slice(1)) {
		const [key = '', value = ''] = line.split(': ');
		if (key.toLowerCase() === name) {
			return value;
		}
	}

	return undefined;
}

function end(how: RawAnswer['end'], socket: Socket): void {
	switch (how) {
		case 'close': {
			socket.end();
			break;
		}

		case 'exit': {
			process.exit();
			break;
		}

		case 'error': {
			throw new Error('An error that nothing catches');
		}

		case 'SIGKILL':
		case 'SIGTERM': {
			process.kill(process.pid, how);
			break;
		}

		case undefined: {
			break;
		}
	}
}
