import {once} from 'node:events';
import {connect} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {startHttpServer} from './http-server.js';

/** Sends bytes that are no request on a connection, after a request whose answer takes some time; returns what is received. */
async function sendGarbage(t: ExecutionContext, {after}: {readonly after: number}): Promise<string> {
	const {port, destroy} = await startHttpServer({
		host: '127.0.0.1', port: 0, headerBytes: 16_384, onError: error => t.fail(String(error)), async handler(request, response) {
			request.resume();
			response.write('first half, ');
			setTimeout(() => {
				response.end('second half');
			}, 100);
		},
	});
	t.teardown(destroy);
	const socket = connect(port, '127.0.0.1');
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	socket.on('error', () => {
		// A reset is one way to break off an answer.
	});
	socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	setTimeout(() => {
		socket.write('no request\r\n\r\n');
	}, after);
	await once(socket, 'close');
	return text;
}

// What follows in the answer would be taken for a part of it.
test('bytes that are no request break an answer off that is in progress, and nothing is written into it', async t => {
	const text = await sendGarbage(t, {after: 50});
	t.true(text.includes('first half'));
	t.false(text.includes('400'));
	t.false(text.endsWith('0\r\n\r\n'));
});

test('bytes that are no request are answered once the answer before them is complete', async t => {
	const text = await sendGarbage(t, {after: 200});
	t.true(text.includes('second half'));
	t.regex(text, /HTTP\/1\.1 400 /v);
});

test('bytes that are no request break an answer off whose request arrived before an earlier answer was complete', async t => {
	const {port, destroy} = await startHttpServer({
		host: '127.0.0.1', port: 0, headerBytes: 16_384, onError(error) {
			throw error;
		}, async handler({url}, response) {
			if (url === '/1') {
				response.end('whole');
			} else {
				response.writeHead(200, {'Content-Length': 100});
				response.write('first half, ');
			}
		},
	});
	t.teardown(destroy);
	const socket = connect(port, '127.0.0.1');
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
		if (text.endsWith('first half, ')) {
			socket.write('no request\r\n\r\n');
		}
	});
	socket.on('error', () => {
		// A reset is one way to break off an answer.
	});
	socket.write('GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n');
	await new Promise(resolve => {
		socket.on('close', resolve);
	});
	t.true(text.endsWith('first half, '));
});
