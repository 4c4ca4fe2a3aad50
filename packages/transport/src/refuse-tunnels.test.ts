import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type RequestListener} from 'node:http';
import {type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {connectCaller, createTrackedServer} from './_test-caller.js';
import {refuseTunnels} from './refuse-tunnels.js';

const get = 'GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n';
const tunnel = 'CONNECT desk.example:80 HTTP/1.1\r\nHost: desk.example:80\r\n\r\n';
/** The body of an answer in two parts. */
const wholeBody = 'c\r\nfirst half, \r\nb\r\nsecond half\r\n0\r\n\r\n';

/** Starts a server that refuses tunnels, and a caller that keeps its side of its connection open. */
async function start(t: ExecutionContext, handle: RequestListener) {
	const {server, unfinished} = createTrackedServer(handle);
	let refused = 0;
	refuseTunnels(server, {
		unfinished,
		onRefuse() {
			refused++;
		},
	});
	const caller = await connectCaller(t, server, {allowHalfOpen: true});
	caller.on('error', () => undefined);
	let text = '';
	caller.on('data', chunk => {
		text += String(chunk);
	});
	return {
		server, caller, text: () => text, refused: () => refused,
	};
}

test('a request for a tunnel is refused and its connection is closed, though its caller keeps its side open', async t => {
	const {server, caller, text, refused} = await start(t, (_message, response) => {
		response.end();
	});
	caller.write(tunnel);
	await once(caller, 'end');
	t.regex(text(), /^HTTP\/1\.1 501 [\s\S]*\r\nConnection: close\r\n\r\n$/v);
	t.is(refused(), 1);
	server.close();
	await once(server, 'close');
});

test('requests before a request for a tunnel are answered before it is refused', async t => {
	const {caller, text} = await start(t, (_message, response) => {
		setTimeout(() => {
			response.end('done');
		}, 100);
	});
	caller.write(`${get}${get}${tunnel}`);
	await once(caller, 'end');
	t.deepEqual(Array.from(text().matchAll(/HTTP\/1\.1 (?<status>\d+) /gv), ({groups}) => groups!.status), ['200', '200', '501']);
});

test('a caller that leaves before the answer to a request before its request for a tunnel is seen', async t => {
	const {server, caller} = await start(t, () => undefined);
	const connected = once(server, 'connection') as Promise<[Socket]>;
	caller.write(`${get}${get}${tunnel}`);
	const [connection] = await connected;
	await once(server, 'connect');
	const closed = new Promise(resolve => {
		connection.on('close', resolve);
	});
	caller.resetAndDestroy();
	await closed;
	t.true(connection.destroyed);
});

/** How much a caller may send behind its request for a tunnel before its connection is no longer read, with what one read may bring beyond it, in bytes. */
const mostReadBytes = 1152 * 1024;
/** What a caller sends that is never paused, in bytes. */
const floodBytes = 64 * 1024 * 1024;

test('what a caller sends without end behind a request for a tunnel that waits is not read on, and the requests before it are answered whole', async t => {
	let answer: (() => void) | undefined;
	const {server, caller, text} = await start(t, (message, response) => {
		response.write('first half, ');
		answer ??= () => {
			response.end('second half');
		};

		if (message.url === '/last') {
			response.end('second half');
		}
	});
	const connected = once(server, 'connection') as Promise<[Socket]>;
	caller.write(`${get}${get.replace('/', '/last')}${tunnel}`);
	const [connection] = await connected;
	const closed = new Promise(resolve => {
		connection.on('close', resolve);
	});
	await once(server, 'connect');
	const flood = Buffer.alloc(64 * 1024, 'x');
	let isPaused = false;
	while (!isPaused && connection.bytesRead < floodBytes) {
		if (!caller.write(flood)) {
			isPaused = await once(caller, 'drain', {signal: AbortSignal.timeout(500)}).then(() => false, () => true);
		}
	}

	t.true(isPaused);
	t.true(connection.bytesRead <= mostReadBytes, `${connection.bytesRead}`);
	answer!();
	await once(caller, 'end');
	t.deepEqual(text().split(/(HTTP\/1\.1 \d+ )[\s\S]*?\r\n\r\n/v).slice(1), ['HTTP/1.1 200 ', wholeBody, 'HTTP/1.1 200 ', wholeBody, 'HTTP/1.1 501 ', '']);
	await closed;
	t.true(connection.bytesRead <= mostReadBytes, `${connection.bytesRead}`);
});
