import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {type HttpServer, type HttpServerOptions, startHttpServer} from './http-server.js';

type SendOptions = {
	/** The requests, which are sent without waiting for their answers. */
	readonly requests: readonly string[];
	/** The end of the received text after which the bytes are sent. */
	readonly after: string;
	/** The bytes; no request by default. */
	readonly bytes?: string;
	/** Whether the caller ends its connection behind the bytes; it does not by default. */
	readonly endsBehind?: boolean;
};

const whole = 'GET /whole HTTP/1.1\r\nHost: a\r\n\r\n';
const begun = 'GET /begun HTTP/1.1\r\nHost: a\r\n\r\n';
const begunBeforeBody = 'POST /begun HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
const wholeBeforeBody = 'POST /whole HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
const malformedChunk = 'no length\r\n';
/** The body of a whole answer. */
const body = 'c\r\nfirst half, \r\nb\r\nsecond half\r\n0\r\n\r\n';
/** How long an answer that has begun goes on after the bytes, in milliseconds. */
const goesOnMilliseconds = 100;

async function start(t: ExecutionContext, handler: HttpServerOptions['handler']): Promise<HttpServer> {
	const server = await startHttpServer({
		host: '127.0.0.1', port: 0, headerBytes: 16_384, onError: error => t.fail(String(error)), handler,
	});
	t.teardown(server.destroy);
	return server;
}

/** Sends requests and then bytes on a connection, to a server whose answer to `/begun` is not complete by then; returns what is received. */
async function sendBehind(t: ExecutionContext, {requests, after, bytes = 'no request\r\n\r\n', endsBehind = false}: SendOptions): Promise<string> {
	let noteSent: () => void;
	const sent = new Promise<void>(resolve => {
		noteSent = resolve;
	});
	const {port} = await start(t, async ({url}, response) => {
		response.write('first half, ');
		if (url === '/begun') {
			await sent;
			await delay(goesOnMilliseconds);
		}

		response.end('second half');
	});
	const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
		if (text.endsWith(after)) {
			socket.write(bytes);
			noteSent();
			if (endsBehind) {
				socket.end();
			}
		}
	});
	socket.on('end', () => {
		socket.end();
	});
	socket.on('error', () => {
		// A reset is one way to break off an answer.
	});
	socket.write(requests.join(''));
	await new Promise(resolve => {
		socket.on('close', resolve);
	});
	return text;
}

/** Returns the bodies of answers, as they were sent. */
function bodiesOf(text: string): readonly string[] {
	return text.split(/HTTP\/1\.1 200 OK\r\n[\s\S]*?\r\n\r\n/v).slice(1);
}

const rows: ReadonlyArray<readonly [name: string, requests: readonly string[], bytes: string | undefined, answers: number]> = [
	['an answer that has begun ends whole though bytes that are no request came behind it', [begun], undefined, 1],
	['an answer that has begun behind another one ends whole though bytes that are no request came behind it', [whole, begun], undefined, 2],
	['whole requests behind an answer that has begun are answered though bytes that are no request came behind them', [begun, whole, whole], undefined, 3],
	['an answer that has begun ends whole though the body of the request behind it is malformed', [begun, whole, wholeBeforeBody], malformedChunk, 2],
];

for (const [name, requests, bytes, answers] of rows) {
	// What follows in an answer would be taken for a part of it.
	test(`${name}, and nothing else is written`, async t => {
		const text = await sendBehind(t, {requests, after: 'first half, \r\n', ...(bytes !== undefined && {bytes})});
		t.deepEqual(bodiesOf(text), Array.from({length: answers}, () => body));
	});
}

test('an answer that has begun is broken off if the body of its own request is malformed, and nothing is written into it', async t => {
	const text = await sendBehind(t, {requests: [begunBeforeBody], after: 'first half, \r\n', bytes: malformedChunk});
	t.deepEqual(bodiesOf(text), ['c\r\nfirst half, \r\n']);
});

test('an answer that has begun is broken off if its caller ends the connection within the request behind it', async t => {
	const text = await sendBehind(t, {
		requests: [begun], after: 'first half, \r\n', bytes: 'GET / HT', endsBehind: true,
	});
	t.deepEqual(bodiesOf(text), ['c\r\nfirst half, \r\n']);
});

test('bytes that are no request are answered once the answer before them is complete', async t => {
	const text = await sendBehind(t, {requests: [whole], after: '0\r\n\r\n'});
	t.true(text.includes('second half'));
	t.regex(text, /HTTP\/1\.1 400 /v);
});

test('a stop does not wait for a connection on which bytes that are no request came behind an answer that had begun', async t => {
	let answer: (() => void) | undefined;
	const server = await start(t, async (_message, response) => {
		response.write('first half, ');
		answer = () => {
			response.end('second half');
		};
	});
	const caller = connect(server.port, '127.0.0.1');
	t.teardown(() => {
		caller.destroy();
	});
	let text = '';
	caller.on('data', chunk => {
		text += String(chunk);
	});
	caller.write(begun);
	await once(caller, 'data');
	const closed = server.close();
	caller.write('no request\r\n\r\n');
	await delay(goesOnMilliseconds);
	answer!();
	await once(caller, 'close', {signal: AbortSignal.timeout(5000)});
	await closed;
	t.deepEqual(bodiesOf(text), [body]);
});
