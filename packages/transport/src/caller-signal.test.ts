import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {callerSignal} from './caller-signal.js';

/** Sends a request, and returns its signal once the connection has closed, by the caller or after an answer. */
async function signalAfter(t: ExecutionContext, by: 'caller' | 'answer'): Promise<AbortSignal> {
	const server = createServer();
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
	caller.resume();
	caller.write('GET / HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\r\n');
	const [, response] = await once(server, 'request') as [unknown, ServerResponse];
	const signal = callerSignal(response);
	if (by === 'caller') {
		caller.destroy();
	} else {
		response.end('done');
	}

	await once(response, 'close');
	return signal;
}

test('the signal is aborted if the caller leaves without an answer, and not by its answer', async t => {
	const left = await signalAfter(t, 'caller');
	t.true(left.aborted);
	const answered = await signalAfter(t, 'answer');
	t.false(answered.aborted);
});
