import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Socket,
} from 'node:net';
import test from 'ava';
import {nextPoll} from './next-poll.js';

test('the end of a connection that arrived with its last bytes has been read after the next poll', async t => {
	const server = createServer({allowHalfOpen: true}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
	const [[socket]] = await Promise.all([once(server, 'connection'), once(caller, 'connect')]) as [[Socket], unknown];
	caller.write('request');
	caller.destroy();
	await once(socket, 'data');
	t.false(socket.readableEnded);
	await nextPoll();
	t.true(socket.readableEnded);
	socket.destroy();
	server.close();
});
