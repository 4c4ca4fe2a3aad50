import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setImmediate as turn, setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {connectCaller} from './_test-caller.js';
import {blockEventLoop} from './_test-event-loop.js';
import {closeIdleAfterPoll} from './close-idle-after-poll.js';

const request = 'GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n';
/** What the runtime adds to the timeout of an idle connection, in milliseconds. */
const addedMilliseconds = 1000;

/** Starts a server, and connects a caller whose first request has been answered. */
async function connectIdle(t: ExecutionContext, keepAliveTimeout: number) {
	let requests = 0;
	let closed = 0;
	const server = createServer({keepAliveTimeout}, (_message, response) => {
		requests++;
		response.end('done');
	});
	closeIdleAfterPoll(server, {
		onClose() {
			closed++;
		},
	});
	const caller = await connectCaller(t, server, {allowHalfOpen: true});
	caller.on('error', () => undefined);
	caller.write(request);
	const [connection] = await once(server, 'connection') as [Socket];
	await once(caller, 'data');
	return {
		server, connection, caller, requests: () => requests, closed: () => closed,
	};
}

test('a request that arrived before the idle timeout of its connection is answered, though the process was held up', async t => {
	const {server, connection, caller, closed} = await connectIdle(t, 10);
	// Timers are due before sockets are read again.
	await turn();
	connection.setTimeout(server.keepAliveTimeout);
	caller.write(request);
	blockEventLoop(100);
	const [answer] = await Promise.race([once(caller, 'data'), once(caller, 'end')]) as [unknown];
	t.regex(String(answer), /^HTTP\/1\.1 200 /v);
	t.is(closed(), 0);
});

test('an idle connection whose timeout was raised is kept for the new one', async t => {
	const {server, caller, closed} = await connectIdle(t, 100);
	server.keepAliveTimeout = 60_000;
	await delay(2 * addedMilliseconds);
	caller.write(request);
	const [answer] = await Promise.race([once(caller, 'data'), once(caller, 'end')]) as [unknown];
	t.regex(String(answer), /^HTTP\/1\.1 200 /v);
	t.is(closed(), 0);
});

test('a connection is kept for as long as its last answer announced, though a shorter timeout was set before the answer ended', async t => {
	const answers: ServerResponse[] = [];
	const server = createServer({keepAliveTimeout: 3000}, (_message, response) => {
		answers.push(response);
	});
	closeIdleAfterPoll(server);
	const caller = await connectCaller(t, server);
	caller.on('error', () => undefined);
	caller.write(request);
	await once(server, 'request');
	server.keepAliveTimeout = 10;
	answers[0]!.end('done');
	const [answer] = await once(caller, 'data') as [unknown];
	t.regex(String(answer), /^keep-alive: timeout=3\r$/imv);
	let isEnded = false;
	caller.on('end', () => {
		isEnded = true;
	});
	await delay(2 * addedMilliseconds);
	t.false(isEnded);
	caller.write(request);
	await once(server, 'request');
	answers[1]!.end('done');
	const [shorter] = await once(caller, 'data') as [unknown];
	t.regex(String(shorter), /^keep-alive: timeout=0\r$/imv);
	await once(caller, 'end');
});

test('a request that crosses the close of its idle connection is seen, and does not reset the connection', async t => {
	const {caller, requests, closed} = await connectIdle(t, 100);
	let error: Error | undefined;
	caller.on('error', given => {
		error = given;
	});
	await once(caller, 'end');
	t.is(closed(), 1);
	caller.write(request);
	while (requests() < 2) {
		await delay(5);
	}

	caller.end();
	await once(caller, 'close');
	t.is(error, undefined);
});

test('a connection that stays idle is closed, though its caller keeps its side open', async t => {
	const {caller, server, closed} = await connectIdle(t, 100);
	await once(caller, 'end');
	server.close();
	await once(server, 'close');
	t.is(closed(), 1);
});
