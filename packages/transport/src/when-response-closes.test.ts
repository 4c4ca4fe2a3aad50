import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {whenResponseCloses} from './when-response-closes.js';

const head = 'GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n';

/** Sends requests on one connection, and returns their responses once all have arrived. */
async function open(t: ExecutionContext, count: number): Promise<{readonly responses: readonly ServerResponse[]; readonly caller: Socket}> {
	const responses: ServerResponse[] = [];
	const server = createServer();
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
	caller.resume();
	caller.write(head.repeat(count));
	await new Promise<void>(resolve => {
		server.on('request', (_message, response: ServerResponse) => {
			responses.push(response);
			if (responses.length === count) {
				resolve();
			}
		});
	});
	return {responses, caller};
}

async function closed(response: ServerResponse): Promise<void> {
	return new Promise(resolve => {
		whenResponseCloses(response, resolve);
	});
}

test('a response closes when it is sent, and leaves no listeners on its connection', async t => {
	const {responses: [response]} = await open(t, 1);
	const {socket} = response!.req;
	const listeners = socket.listeners('close');
	const ended = closed(response!);
	t.is(socket.listenerCount('close'), listeners.length + 1);
	response!.end('done');
	await ended;
	t.true(socket.listeners('close').every(listener => listeners.includes(listener)));
	await closed(response!);
	t.true(response!.writableFinished);
});

test('a response that waits behind another one closes with its connection', async t => {
	const {responses: [, second], caller} = await open(t, 2);
	second!.write('a part');
	const ended = closed(second!);
	caller.destroy();
	await ended;
	await closed(second!);
	t.false(second!.closed);
});
