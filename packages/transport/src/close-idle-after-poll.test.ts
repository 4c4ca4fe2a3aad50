import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {setImmediate as turn, setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
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
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const caller = connect({port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true});
	caller.on('error', () => undefined);
	t.teardown(() => {
		caller.destroy();
		server.close();
	});
	caller.write(request);
	const [connection] = await once(server, 'connection') as [Socket];
	await once(caller, 'data');
	return {
		server, connection, caller, requests: () => requests, closed: () => closed,
	};
}

test('a request that arrived before the idle timeout of its connection is answered, though the process was held up', async t => {
	const {server, connection, caller, closed} = await connectIdle(t, 60_000);
	// Timers are due before sockets are read again.
	await turn();
	server.keepAliveTimeout = 10;
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

test('an idle connection is kept for as long as its last answer announced, though the timeout was lowered before the end of that answer', async t => {
	const announcedMilliseconds = 3000;
	const {server, caller, closed} = await connectIdle(t, announcedMilliseconds);
	server.once('request', () => {
		server.keepAliveTimeout = 10;
	});
	caller.write(request);
	const [head] = await once(caller, 'data') as [unknown];
	t.regex(String(head), /\r\nKeep-Alive: timeout=3\r\n/v);
	const ended = once(caller, 'end');
	await delay(announcedMilliseconds - addedMilliseconds);
	caller.write(request);
	const [answer] = await Promise.race([once(caller, 'data'), ended]) as [unknown];
	t.regex(String(answer), /^HTTP\/1\.1 200 /v);
	t.is(closed(), 0);
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
