import {createServer} from 'node:http';
import {once} from 'node:events';
import {type AddressInfo, connect} from 'node:net';
import {setImmediate as turn} from 'node:timers/promises';
import test from 'ava';
import {ResponsesInProgress} from './responses-in-progress.js';

/** More than the buffers of the operating system hold for one connection. */
const largeBytes = 32 * 1024 * 1024;

test('a response is in progress until its caller has read what is buffered', async t => {
	const responses = new ResponsesInProgress();
	const server = createServer((_message, response) => {
		responses.add(response);
		response.end(new Uint8Array(largeBytes));
		responses.endWithConnection(response);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => server.close());
	const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
	caller.pause();
	caller.write('GET / HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\r\n');
	await once(server, 'request');

	t.true(responses.isCompleteOneUnread);
	t.is(responses.size, 1);

	caller.resume();
	await once(caller, 'close');
	while (responses.size > 0) {
		await turn();
	}

	t.false(responses.isCompleteOneUnread);
});

test('responses that are broken off are no longer in progress', async t => {
	const responses = new ResponsesInProgress();
	const server = createServer((_message, response) => {
		responses.add(response);
		response.write('part');
		responses.endWithConnection(response);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => server.close());
	const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
	caller.write('GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n');
	await once(caller, 'data');

	responses.abort();
	await once(caller, 'close');

	t.is(responses.size, 0);
});
