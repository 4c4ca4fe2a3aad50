import {once} from 'node:events';
import {
	Agent, type IncomingMessage, request as openRequest, type ServerResponse,
} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {responseFraming} from '@valehitch/transport';
import {listen} from './_test-run.js';
import {discardBody} from './discard-body.js';

/** Discards an answer, and returns whether its connection is kept for the next request. */
async function isConnectionKept(t: ExecutionContext, answer: (response: ServerResponse) => void): Promise<boolean> {
	const port = await listen(t, (_message, response) => {
		answer(response);
	});
	const agent = new Agent({keepAlive: true});
	t.teardown(() => {
		agent.destroy();
	});
	const request = openRequest({host: '127.0.0.1', port, agent}).end();
	const [message] = await once(request, 'response') as [IncomingMessage];
	const {socket} = message;
	const closed = once(message, 'close');
	discardBody(message, responseFraming(message, 'GET'));
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
