import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {testServer} from '../servers/_test-server.js';
import {type ServerRecord} from '../servers/server-record.js';
import {collectBody} from './collect-body.js';
import {connectionPool, maximumIdleConnectionsInAll} from './connection-pool.js';
import {sendAttempt} from './send-attempt.js';

type CountingServer = {
	readonly server: ServerRecord;
	readonly connectionCount: () => number;
};

/** Starts a server that states the timeout of its idle connections, if any, and counts connections. */
async function serve(t: ExecutionContext, keepAlive?: string): Promise<CountingServer> {
	let connections = 0;
	const server = createServer({keepAliveTimeout: 60_000}, (_message, response) => {
		setTimeout(() => {
			response.removeHeader('Connection');
			response.shouldKeepAlive = true;
			response.writeHead(200, {'Content-Length': 2, Connection: 'keep-alive', ...(keepAlive !== undefined && {'Keep-Alive': keepAlive})});
			response.end('ok');
		}, 20);
	});
	server.on('connection', () => {
		connections++;
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	return {server: testServer({port: (server.address() as AddressInfo).port}), connectionCount: () => connections};
}

/** Advances the clock by which connections are idle, without a wait that a busy machine would lengthen. */
function advanceClock(t: ExecutionContext, milliseconds: number): void {
	const {now} = performance;
	performance.now = () => now.call(performance) + milliseconds;
	t.teardown(() => {
		performance.now = now;
	});
}

async function send(server: ServerRecord): Promise<boolean> {
	const outcome = await sendAttempt({
		server,
		method: 'GET',
		target: '/x/',
		headers: [['Host', 'desk.example'], ['Connection', 'keep-alive']],
		body: new Uint8Array(),
		mayReuseConnection: true,
		connectTimeout: 1000,
		watch: undefined,
		onConnect: () => undefined,
		processEnd: new AbortController().signal,
		isServerRunning: async () => true,
		clock: {now: () => new Date(), monotonic: () => performance.now()},
	}).outcome;
	return outcome.type === 'head' && await collectBody(outcome.message, outcome.isComplete) !== undefined;
}

test.serial('a connection is reused after a second, and not where its server closes idle ones sooner', async t => {
	const stated = await serve(t, 'timeout=5');
	const unstated = await serve(t);
	const short = await serve(t, 'timeout=1');
	for (const {server} of [stated, unstated, short]) {
		t.true(await send(server));
	}

	await delay(20);
	advanceClock(t, 1000);
	for (const {server} of [stated, unstated, short]) {
		t.true(await send(server));
	}

	t.deepEqual([stated, unstated, short].map(({connectionCount}) => connectionCount()), [1, 1, 2]);
});

test.serial('an answer over a kept connection does not close the other kept ones of its server', async t => {
	const {server, connectionCount} = await serve(t, 'timeout=5');
	const sendTogether = async () => Promise.all([send(server), send(server), send(server)]);
	t.deepEqual(await sendTogether(), [true, true, true]);
	await delay(20);
	t.true(await send(server));
	await delay(20);
	t.deepEqual(await sendTogether(), [true, true, true]);
	t.is(connectionCount(), 3);
});

test.serial('an instance keeps a bounded number of idle connections to all servers together', async t => {
	const servers = await Promise.all(Array.from({length: 18}, async () => serve(t, 'timeout=30')));
	const sent = await Promise.all(servers.flatMap(({server}) => Array.from({length: 8}, async () => send(server))));
	t.true(sent.every(Boolean));
	await delay(50);
	const idle = Object.values(connectionPool.freeSockets).flatMap(sockets => sockets ?? []).filter(socket => !socket.destroyed);
	t.true(idle.length <= maximumIdleConnectionsInAll, `${idle.length} are idle`);
	t.true(idle.length > 0);
});
