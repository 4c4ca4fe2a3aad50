#!/usr/bin/env node
/**
Run as a process of its own with an IPC channel: a backend server that answers each request with bytes without end, and announces itself.

@module
*/
import {type AddressInfo, createServer, type Socket} from 'node:net';
import process from 'node:process';
import {sendForStatus} from './fake-backend-server.js';
import {type Flood, type FloodingServerOptions} from './flooding-server.js';

/** The interval between two announcements, in milliseconds. */
const announceMilliseconds = 300;
/** The most that is sent on one connection, in bytes. */
const maximumBytes = 1024 * 1024 * 1024;
const pieceBytes = 64 * 1024;

const {id, service, flood, control} = JSON.parse(process.argv[2]!) as FloodingServerOptions;
const filler = 'x'.repeat(16 * 1024);
const interimAnswer = 'HTTP/1.1 103 Early Hints\r\n\r\n';
const comment = ': a\n\n';
const answer = (request: string, head: string): string => `HTTP/1.1 200 OK\r\nAttempt-Id: ${request}\r\nResponse-Signature: s\r\n${head}\r\n`;
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** How an answer begins, and what follows without end. */
const floods: Readonly<Record<Flood, {readonly start: (request: string) => string; readonly rest: string}>> = {
	body: {start: request => answer(request, 'Transfer-Encoding: chunked\r\n'), rest: chunk(filler)},
	rejection: {start: () => 'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n', rest: chunk(filler)},
	comments: {start: request => answer(request, 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n'), rest: chunk(comment.repeat(3000))},
	'interim answers': {start: () => '', rest: interimAnswer.repeat(600)},
	answers: {start: request => `${answer(request, 'Content-Length: 4\r\n')}done`, rest: `${answer('a0', 'Content-Length: 4\r\n')}done`.repeat(200)},
};

process.on('disconnect', () => {
	process.exit();
});

const server = createServer(socket => {
	let received = '';
	socket.on('error', () => {
		socket.destroy();
	});
	socket.on('data', data => {
		received += String(data);
		for (let end = received.indexOf('\r\n\r\n'); end !== -1; end = received.indexOf('\r\n\r\n')) {
			const head = received.slice(0, end);
			received = received.slice(end + 4);
			handle(head, socket);
		}
	});
});
server.listen(0, '127.0.0.1', () => {
	const {port} = server.address() as AddressInfo;
	let sequence = 0;
	setInterval(() => {
		sequence++;
		void sendForStatus({
			method: 'PUT', address: control, path: `/-/instances/${id}`, body: {
				service, address: `127.0.0.1:${port}`, zone: 'hall-a', version: 'v1', slots: 8, state: 'ready', coldRemainingMs: 0, seq: sequence,
			}, timeout: 1000,
		});
	}, announceMilliseconds);
	process.send?.({type: 'listening', port});
});

function handle(head: string, socket: Socket): void {
	if (head.split(' ')[1] === '/healthz') {
		socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
		return;
	}

	const {start, rest} = floods[flood];
	const piece = rest.repeat(Math.ceil(pieceBytes / rest.length));
	let bytes = 0;
	const pump = (): void => {
		if (bytes >= maximumBytes) {
			socket.destroy();
		}

		if (!socket.destroyed) {
			bytes += piece.length;
			socket.write(piece, 'latin1', pump);
		}
	};

	socket.write(start(/^attempt-id: (.*)$/imv.exec(head)?.[1] ?? ''));
	pump();
}
