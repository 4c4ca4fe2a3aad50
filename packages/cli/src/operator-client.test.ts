import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {getStatus} from './_operator-client.js';

/** How an instance ends the connection of a response. */
type Ending = 'closed' | 'half-closed' | 'reset' | 'reset-later';

const endings: readonly Ending[] = ['closed', 'half-closed', 'reset', 'reset-later'];
const laterMilliseconds = 3;
const status = {instance: 'north-1', servers: [1, 23]};
const body = JSON.stringify(status);
const statusLine = 'HTTP/1.1 200 OK\r\n';
const responses: Readonly<Record<string, string>> = {
	'a length': `${statusLine}Content-Length: ${body.length}\r\n\r\n${body}`,
	'a length and the end of the connection': `${statusLine}Connection: close\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
	chunks: `${statusLine}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
	'chunks and the end of the connection': `${statusLine}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
	'the end of the connection': `${statusLine}Connection: close\r\n\r\n${body}`,
};

function endConnection(socket: Socket, ending: Ending): void {
	switch (ending) {
		case 'closed': {
			socket.end();
			socket.destroySoon();
			break;
		}

		case 'half-closed': {
			socket.end();
			break;
		}

		case 'reset': {
			socket.resetAndDestroy();
			break;
		}

		case 'reset-later': {
			setTimeout(endConnection, laterMilliseconds, socket, 'reset');
			break;
		}
	}
}

/** Starts an instance that sends the beginning of a response, and then ends the connection. */
async function startInstance(t: ExecutionContext, {response, ending}: {readonly response: string; readonly ending: Ending}) {
	const cut = {length: 0};
	const sockets = new Set<Socket>();
	const server = createServer({allowHalfOpen: true}, socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.resume();
			socket.write(response.slice(0, cut.length), () => {
				endConnection(socket, ending);
			});
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {cut, target: {server: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, key: 'k'}};
}

for (const [framing, response] of Object.entries(responses)) {
	test(`a response of an instance framed by ${framing} that is cut at any byte is a failure`, async t => {
		for (const ending of endings) {
			// A connection that is kept after the whole response is not used again.
			const {cut, target} = await startInstance(t, {response, ending});
			for (let length = 0; length <= response.length; length++) {
				cut.length = length;
				const result = await getStatus(target);
				const name = `${ending} after ${length} bytes`;
				if (result.isRight()) {
					t.is(length, response.length, name);
					t.deepEqual(result.extract(), status, name);
				} else {
					t.true(length < response.length || ending.startsWith('reset'), name);
				}
			}
		}
	});
}
