import {connect} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {startHttpServer} from './http-server.js';

type SendOptions = {
	/** The paths of the requests, which are sent without waiting for their answers. */
	readonly paths: ReadonlyArray<'/whole' | '/begun'>;
	/** The end of the received text after which the bytes are sent. */
	readonly after: string;
};

/** Sends requests and then bytes that are no request on a connection, to a server whose answer to `/begun` is not complete by then; returns what is received. */
async function sendGarbage(t: ExecutionContext, {paths, after}: SendOptions): Promise<string> {
	const {port, destroy} = await startHttpServer({
		host: '127.0.0.1', port: 0, headerBytes: 16_384, onError: error => t.fail(String(error)), async handler({url}, response) {
			response.write('first half, ');
			if (url === '/whole') {
				response.end('second half');
				return;
			}

			response.once('close', () => {
				response.end('second half');
			});
		},
	});
	t.teardown(destroy);
	const socket = connect(port, '127.0.0.1');
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
		if (text.endsWith(after)) {
			socket.write('no request\r\n\r\n');
		}
	});
	socket.on('error', () => {
		// A reset is one way to break off an answer.
	});
	socket.write(paths.map(path => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`).join(''));
	await new Promise(resolve => {
		socket.on('close', resolve);
	});
	return text;
}

// What follows in the answer would be taken for a part of it.
test('bytes that are no request break an answer off that is in progress, and nothing is written into it', async t => {
	const text = await sendGarbage(t, {paths: ['/begun'], after: 'first half, \r\n'});
	t.true(text.includes('first half'));
	t.false(text.includes('400'));
	t.false(text.endsWith('0\r\n\r\n'));
});

test('bytes that are no request break an answer off whose request arrived before an earlier answer was complete', async t => {
	const text = await sendGarbage(t, {paths: ['/whole', '/begun'], after: 'first half, \r\n'});
	t.true(text.includes('second half'));
	t.false(text.includes('400'));
	t.false(text.endsWith('0\r\n\r\n'));
});

test('bytes that are no request are answered once the answer before them is complete', async t => {
	const text = await sendGarbage(t, {paths: ['/whole'], after: '0\r\n\r\n'});
	t.true(text.includes('second half'));
	t.regex(text, /HTTP\/1\.1 400 /v);
});
