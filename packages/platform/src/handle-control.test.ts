import {once} from 'node:events';
import {request as openRequest, type IncomingMessage} from 'node:http';
import {type ControlInstance} from '@valehitch/gateway';
import {startHttpServer} from '@valehitch/transport';
import test, {type ExecutionContext} from 'ava';
import {handleControl} from './handle-control.js';

const tooLarge = 413;

/** Sends an order with a body of spaces to a control instance that refuses every announcement; returns the status of the answer. */
async function send(t: ExecutionContext, {method, path, bytes}: {readonly method: string; readonly path: string; readonly bytes: number}): Promise<number | undefined> {
	const control: Partial<ControlInstance> = {
		refuseAnnouncement() {
			// The log is not under test.
		},
	};
	const server = await startHttpServer({
		host: '127.0.0.1',
		port: 0,
		headerBytes: 16_384,
		handler: async (request, response) => handleControl(control as ControlInstance, request, response),
		onError(error) {
			t.fail(String(error));
		},
	});
	t.teardown(server.destroy);
	const request = openRequest({
		host: '127.0.0.1', port: server.port, method, path, agent: false,
	});
	request.end(' '.repeat(bytes));
	const [{statusCode}] = await once(request, 'response') as [IncomingMessage];
	return statusCode;
}

test('an announcement that is longer than any valid one is refused before it is read whole', async t => {
	t.is(await send(t, {method: 'PUT', path: '/-/instances/i-1', bytes: 1_000_000}), tooLarge);
	t.is(await send(t, {method: 'POST', path: '/-/rollouts', bytes: 1_000_000}), tooLarge);
});

test('a configuration may be longer than an announcement', async t => {
	const status = await send(t, {method: 'PUT', path: '/-/config', bytes: 1_000_000});
	t.true(status !== undefined && status !== tooLarge && status < 500);
	t.is(await send(t, {method: 'PUT', path: '/-/config', bytes: 9_000_000}), tooLarge);
});
