import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {limitUnreadBody, type LimitUnreadBodyOptions} from './limit-unread-body.js';
import {readBody} from './read-body.js';

const head = 'POST / HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n';
const chunk = `4000\r\n${'x'.repeat(16 * 1024)}\r\n`;
const lastChunk = '0\r\n\r\n';
const refusal = 'HTTP/1.1 413 ';
const bodyBytes = 1000;
/** More than any test lets a caller send, in bytes. */
const mostBytes = 1024 * 1024 * 1024;

/** How a server reads a body that it refuses. */
const readers: Readonly<Record<string, (message: IncomingMessage) => Promise<unknown>>> = {
	async 'reads up to a limit'(message) {
		return readBody(message, bodyBytes);
	},
	async 'throws away'(message) {
		message.resume();
	},
	async 'does not read'() {
		// The runtime throws the body away.
	},
};

type Refusing = {
	readonly caller: Socket;
	readonly connection: Socket;
	readonly received: () => string;
};

/** Starts a server that refuses each request, and connects a caller that sends the head of one. */
async function connectToRefusing(t: ExecutionContext, read: (message: IncomingMessage) => Promise<unknown>, options?: LimitUnreadBodyOptions): Promise<Refusing> {
	const refuse = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
		limitUnreadBody(response, options);
		await read(message);
		response.writeHead(413, {'Content-Length': 0}).end();
	};

	const server = createServer((message, response) => {
		void refuse(message, response);
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const caller = connect({port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true});
	caller.on('error', () => undefined);
	let received = '';
	caller.on('data', data => {
		received += String(data);
	});
	t.teardown(() => {
		caller.destroy();
		server.closeAllConnections();
		server.close();
	});
	const [connection] = await once(server, 'connection') as [Socket];
	caller.write(head);
	return {caller, connection, received: () => received};
}

function sendWithoutEnd(caller: Socket): void {
	let sent = 0;
	const pump = (): void => {
		while (!caller.destroyed && sent < mostBytes) {
			sent += chunk.length;
			if (!caller.write(chunk)) {
				caller.once('drain', pump);
				return;
			}
		}
	};

	pump();
}

for (const [name, read] of Object.entries(readers)) {
	test(`a caller that sends the body of a refused request without end gets the answer, and its connection is closed: a server that ${name}`, async t => {
		const {caller, connection, received} = await connectToRefusing(t, read, {maximumBytes: 1_000_000});
		sendWithoutEnd(caller);
		await once(connection, 'close');
		t.true(received().startsWith(refusal));
		t.true(connection.bytesRead < mostBytes / 2, `${connection.bytesRead} bytes were read`);
	});

	test(`a caller that sends the whole body of a refused request uses its connection again: a server that ${name}`, async t => {
		const {caller, received} = await connectToRefusing(t, read);
		caller.write(`${chunk.repeat(200)}${lastChunk}${head}${chunk}${lastChunk}`);
		while (received().split(refusal).length < 3) {
			await once(caller, 'data');
		}

		t.false(caller.readableEnded);
	});
}

test('a caller that does not send the rest of the body of a refused request is not waited for', async t => {
	const {caller, connection, received} = await connectToRefusing(t, async message => readBody(message, bodyBytes), {within: 10});
	caller.write(chunk);
	await once(connection, 'close');
	t.true(received().startsWith(refusal));
});
