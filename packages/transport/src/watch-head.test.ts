import {once} from 'node:events';
import {
	Agent, type ClientRequest, type IncomingMessage, request as openRequest,
} from 'node:http';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {setImmediate as turn} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {watchHead} from './watch-head.js';

const statusLine = 'HTTP/1.1 200 OK\r\n';
const body = 'a\nb\r';

type Exchange = {
	/** Sends a request that is answered by the given bytes; returns whether the head is malformed, by the client or by what was found. */
	readonly send: (bytes: string, isSplit?: boolean) => Promise<boolean>;
	readonly connections: () => number;
};

async function sendParts(socket: Socket, parts: readonly string[]): Promise<void> {
	for (const part of parts) {
		socket.write(part);
		await turn();
	}
}

/** Waits for the head of an answer; undefined if the HTTP client refuses it, as some versions do. */
async function receiveHead(request: ClientRequest): Promise<IncomingMessage | undefined> {
	return new Promise((resolve, reject) => {
		request.on('response', resolve);
		request.on('error', (error: NodeJS.ErrnoException) => {
			if (error.code?.startsWith('HPE_') === true) {
				resolve(undefined);
			} else {
				reject(error);
			}
		});
	});
}

async function start(t: ExecutionContext): Promise<Exchange> {
	let answer: readonly string[] = [];
	let connections = 0;
	const server = createServer(socket => {
		connections++;
		socket.setNoDelay(true);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('data', () => {
			void sendParts(socket, answer);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const agent = new Agent({keepAlive: true});
	t.teardown(() => {
		agent.destroy();
		server.close();
	});
	return {
		connections: () => connections,
		async send(bytes, isSplit = false) {
			answer = isSplit ? [...bytes] : [bytes];
			const request = openRequest({host: '127.0.0.1', port: (server.address() as AddressInfo).port, agent});
			const headProblem = watchHead(request);
			request.end();
			const message = await receiveHead(request);
			if (message === undefined) {
				return true;
			}

			const found = headProblem() !== undefined;
			if (found) {
				message.destroy();
			} else {
				message.resume();
				await once(message, 'close');
				await turn();
			}

			return found;
		},
	};
}

for (const isSplit of [false, true]) {
	test(`a head whose lines end with both characters is well-formed, whatever its body has${isSplit ? ', byte by byte' : ''}`, async t => {
		const {send, connections} = await start(t);
		t.false(await send(`${statusLine}Content-Length: 4\r\n\r\n${body}`, isSplit));
		t.false(await send(`HTTP/1.1 103 A\r\nSum: 1\r\n\r\nHTTP/1.1 102 B\r\n\r\n${statusLine}Content-Length: 4\r\n\r\n${body}`, isSplit));
		t.false(await send(`\r\n${statusLine}Content-Length: 4\r\n\r\n${body}`, isSplit));
		t.is(connections(), 1);
	});

	test(`a head that ends with one character in place of an empty line is malformed${isSplit ? ', byte by byte' : ''}`, async t => {
		const {send} = await start(t);
		for (const end of ['\n', '\r\r\n', '\rx']) {
			for (const interim of ['', 'HTTP/1.1 103 A\r\n\r\n']) {
				t.true(await send(`${interim}${statusLine}Content-Length: 4\r\n${end}${body}`, isSplit), `${interim}, then ${JSON.stringify(end)}`);
			}
		}
	});
}

test('answers that follow a short one in the same chunk are not parsed, and the first one is whole', async t => {
	const answer = `${statusLine}Content-Length: 4\r\n\r\ndone`;
	const server = createServer(socket => {
		socket.on('error', () => {
			socket.destroy();
		});
		socket.write(answer.repeat(1000));
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	const agent = new Agent({keepAlive: true});
	const request = openRequest({host: '127.0.0.1', port: (server.address() as AddressInfo).port, agent});
	const reasons: string[] = [];
	watchHead(request, {
		onExcess(reason) {
			reasons.push(reason);
		},
	});
	request.on('error', () => undefined);
	request.end();
	const [message] = await once(request, 'response') as [IncomingMessage];
	const {socket} = message;
	t.is(await text(message), 'done');
	t.true(message.complete);
	t.true(socket.destroyed);
	t.deepEqual(reasons, [`${999 * answer.length} bytes behind the answer`]);
});

test('an empty line behind an answer is no excess, and its connection is used again', async t => {
	const server = createServer(socket => {
		socket.on('data', () => {
			socket.write(`${statusLine}Content-Length: 4\r\n\r\ndone\r\n`);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const agent = new Agent({keepAlive: true});
	t.teardown(() => {
		agent.destroy();
		server.close();
	});
	const reasons: string[] = [];
	const reused: boolean[] = [];
	for (let count = 0; count < 2; count++) {
		const request = openRequest({host: '127.0.0.1', port: (server.address() as AddressInfo).port, agent});
		watchHead(request, {
			onExcess(reason) {
				reasons.push(reason);
			},
		});
		request.end();
		const [message] = await once(request, 'response') as [IncomingMessage];
		t.is(await text(message), 'done');
		reused.push(request.reusedSocket);
		await turn();
	}

	t.deepEqual(reasons, []);
	t.deepEqual(reused, [false, true]);
});

test('interim answers without end are not parsed beyond a maximum, also in one chunk', async t => {
	const server = createServer(socket => {
		socket.on('error', () => {
			socket.destroy();
		});
		socket.write('HTTP/1.1 102 Processing\r\n\r\n'.repeat(2000));
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	const request = openRequest({host: '127.0.0.1', port: (server.address() as AddressInfo).port, agent: false});
	const reasons: string[] = [];
	watchHead(request, {
		onExcess(reason) {
			reasons.push(reason);
		},
	});
	let interimAnswers = 0;
	request.on('information', () => {
		interimAnswers++;
	});
	request.on('error', () => undefined);
	const closed = new Promise<void>(resolve => {
		request.on('close', resolve);
	});
	request.end();
	await closed;
	t.true(interimAnswers <= 65, `${interimAnswers}`);
	t.deepEqual(reasons, ['More than 64 interim answers']);
});
