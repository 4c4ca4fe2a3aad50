import {once} from 'node:events';
import {
	type AddressInfo, createServer, type Server, type Socket,
} from 'node:net';
import test from 'ava';
import {readResponseBody} from './read-response-body.js';
import {sendHttpRequest} from './send-http-request.js';

const limit = 1000;

const unframedHead = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

/** Requests a response that has no length, or another head, and ends as given; returns its body, or undefined if it is truncated. */
async function receive(end: (socket: Socket, server: Server) => void, head = unframedHead): Promise<string | undefined> {
	const server = createServer(socket => {
		socket.on('error', () => {
			socket.destroy();
		});
		socket.once('data', () => {
			socket.write(`${head}half of it`, () => {
				end(socket, server);
			});
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const answer = await sendHttpRequest({
		address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', path: '/', headers: {}, body: new Uint8Array(), signal: new AbortController().signal, reuseConnection: false,
	});
	const body = await readResponseBody(answer.unsafeCoerce(), limit);
	server.close();
	return body.map(bytes => new TextDecoder().decode(bytes)).toMaybe().extract();
}

test('a response without a length is complete if its connection is closed and its server goes on running', async t => {
	t.is(await receive(socket => {
		socket.end();
	}), 'half of it');
});

test('a response without a length is truncated if its connection is reset, at once or later', async t => {
	for (const delay of [0, 50]) {
		t.is(await receive(socket => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, delay);
		}), undefined);
	}
});

test('a response without a length is truncated if its server exits', async t => {
	t.is(await receive((socket, server) => {
		server.close();
		socket.end();
	}), undefined);
});

// The length was dropped as one header too many, and the end of the connection awaited.
test('a response that states its length after a thousand other headers is complete at the end of its body', async t => {
	t.is(await receive(socket => {
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 500);
	}, `HTTP/1.1 200 OK\r\n${'a:b\r\n'.repeat(1200)}Content-Length: 10\r\n\r\n`), 'half of it');
});
