import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import test from 'ava';
import {abortResponse} from './abort-response.js';

const part = 'half of it';

/** Sends a request of an HTTP version to a server that breaks off its response once a part of it has come; returns how the connection ended, and what came before. */
async function receive(version: string): Promise<{readonly text: string; readonly isReset: boolean}> {
	let unfinished: ServerResponse | undefined;
	const server = createServer((_request, response) => {
		unfinished = response;
		response.write(part);
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	socket.write(`GET / HTTP/${version}\r\nHost: a\r\n\r\n`);
	let text = '';
	let isReset = false;
	socket.on('data', chunk => {
		text += String(chunk);
		if (unfinished !== undefined && text.includes(part)) {
			abortResponse(unfinished);
		}
	});
	socket.on('error', () => {
		isReset = true;
	});
	await new Promise(resolve => {
		socket.on('close', resolve);
	});
	server.close();
	return {text, isReset};
}

test('a response that ends with its connection is reset when it is broken off', async t => {
	const {text, isReset} = await receive('1.0');
	t.regex(text, /half of it$/v);
	t.true(isReset);
});

test('a response in chunks that is broken off has no last chunk', async t => {
	const {text} = await receive('1.1');
	t.regex(text, /half of it\r\n$/v);
});
