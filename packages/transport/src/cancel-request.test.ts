import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	Agent, createServer as createHttpServer, type IncomingMessage, request as openRequest,
} from 'node:http';
import {
	type AddressInfo, createServer, type Server, type Socket,
} from 'node:net';
import {text} from 'node:stream/consumers';
import {setImmediate as nextTurn} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {cancelRequest} from './cancel-request.js';

const host = '127.0.0.1';
/** More than a server that reads nothing is sent, and less than the kernel takes of a request. */
const longBody = Buffer.alloc(262_144, 'coil');

async function listen(t: ExecutionContext, server: Server): Promise<number> {
	server.listen(0, host);
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	return (server.address() as AddressInfo).port;
}

test('a server that reads late does not receive the whole of a request that was cancelled', async t => {
	const server = createServer({pauseOnConnect: true});
	const port = await listen(t, server);
	const accepted = once(server, 'connection');
	const request = openRequest({
		host, port, agent: false, method: 'POST', headers: {'content-length': longBody.byteLength},
	});
	request.on('error', () => undefined);
	request.end(longBody);
	const [socket] = await accepted as [Socket];
	await once(request, 'finish');
	cancelRequest(request);
	let received = 0;
	socket.on('data', (bytes: Uint8Array) => {
		received += bytes.byteLength;
	});
	// A reset that follows on data may be reported as the end.
	socket.on('error', () => undefined);
	await new Promise(resolve => {
		socket.on('close', resolve);
		socket.resume();
	});
	t.true(received < longBody.byteLength, `${received} bytes`);
});

test('a request that is cancelled while its connection is being opened is not sent', async t => {
	const server = createServer();
	const port = await listen(t, server);
	const received = once(server, 'connection').then(async ([socket]: Socket[]) => text(socket!));
	const request = openRequest({
		host, port, agent: false, method: 'POST',
	});
	const failed = once(request, 'error');
	await once(request, 'socket');
	cancelRequest(request);
	await failed;
	t.is(await received, '');
});

test('the connection of a request that was answered is kept when it is cancelled', async t => {
	const port = await listen(t, createHttpServer((_message, response) => {
		response.end('printed');
	}));
	const agent = new Agent({keepAlive: true});
	const answers: Array<readonly [string, boolean]> = [];
	for (let count = 0; count < 2; count++) {
		const request = openRequest({host, port, agent}).end();
		const [message] = await once(request, 'response') as [IncomingMessage];
		answers.push([await text(message), request.reusedSocket]);
		await nextTurn();
		cancelRequest(request);
	}

	t.deepEqual(answers, [['printed', false], ['printed', true]]);
	agent.destroy();
});
