import {once} from 'node:events';
import {
	Agent, createServer as createHttpServer, get, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {discardResponse} from './discard-response.js';
import {responseFraming} from './response-framing.js';

const head = 'HTTP/1.1 503 Service Unavailable\r\n';

/** Discards the body of a response; returns its connection at the server. */
async function discard(t: ExecutionContext, agent: Agent, answer: (socket: Socket) => void): Promise<Socket> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			answer(socket);
		});
	}).listen(0, '127.0.0.1');
	const accepted = once(server, 'connection') as Promise<[Socket]>;
	await once(server, 'listening');
	const request = get({host: '127.0.0.1', port: (server.address() as AddressInfo).port, agent});
	t.teardown(() => {
		agent.destroy();
		server.close();
	});
	const [message] = await once(request, 'response') as [IncomingMessage];
	discardResponse(message);
	const [socket] = await accepted;
	return socket;
}

/** Waits until a connection has closed, by a reset too. */
async function closes(socket: Socket): Promise<void> {
	return new Promise(resolve => {
		socket.on('close', () => {
			resolve();
		});
	});
}

test('a body that is thrown away and does not end closes its connection', async t => {
	const socket = await discard(t, new Agent({keepAlive: true}), socket => {
		const pump = (): void => {
			while (!socket.destroyed && socket.write('x'.repeat(16 * 1024))) {
				// The connection takes more.
			}
		};

		socket.on('drain', pump);
		socket.write(`${head}\r\n`);
		pump();
	});
	await closes(socket);
	t.true(socket.destroyed);
});

test('a body that is thrown away and falls silent closes its connection', async t => {
	const socket = await discard(t, new Agent({keepAlive: true}), socket => {
		socket.write(`${head}Content-Length: 10\r\n\r\nhalf`);
	});
	await closes(socket);
	t.true(socket.destroyed);
});

test('a short body that is thrown away leaves its connection in use', async t => {
	const agent = new Agent({keepAlive: true});
	const isFree = once(agent, 'free');
	const socket = await discard(t, agent, socket => {
		socket.write(`${head}Content-Length: 4\r\n\r\nbusy`);
	});
	await isFree;
	t.false(socket.destroyed);
});

/** Discards an answer, and returns whether its connection is kept for the next request. */
async function isConnectionKept(t: ExecutionContext, answer: (response: ServerResponse) => void): Promise<boolean> {
	const server = createHttpServer((_message, response) => {
		answer(response);
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const agent = new Agent({keepAlive: true});
	t.teardown(() => {
		agent.destroy();
		server.closeAllConnections();
		server.close();
	});
	const request = get({host: '127.0.0.1', port: (server.address() as AddressInfo).port, agent});
	const [message] = await once(request, 'response') as [IncomingMessage];
	const {socket} = message;
	const closed = once(message, 'close');
	discardResponse(message, {framing: responseFraming(message, 'GET')});
	await closed;
	await nextTurn();
	return !socket.destroyed;
}

test('the connection of an answer with a short body is kept', async t => {
	t.true(await isConnectionKept(t, response => {
		response.writeHead(503, {'Content-Length': 4}).end('busy');
	}));
	t.true(await isConnectionKept(t, response => {
		response.writeHead(503).end();
	}));
});

test('the connection of an answer whose body is long or of unknown length is closed', async t => {
	t.false(await isConnectionKept(t, response => {
		response.writeHead(503, {'Content-Length': 1_000_000}).write('busy');
	}));
	t.false(await isConnectionKept(t, response => {
		response.writeHead(503, {'Transfer-Encoding': 'chunked'}).write('x'.repeat(5000));
	}));
	t.false(await isConnectionKept(t, response => {
		response.useChunkedEncodingByDefault = false;
		response.writeHead(503, {Connection: 'close'}).write('busy');
	}));
});

test('the connection of an answer whose short body does not come is closed', async t => {
	t.false(await isConnectionKept(t, response => {
		response.writeHead(503, {'Content-Length': 4}).write('bu');
	}));
});
