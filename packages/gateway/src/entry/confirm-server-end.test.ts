import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import test from 'ava';
import {confirmServerEnd} from './confirm-server-end.js';

const host = '127.0.0.1';

test('a process has ended only if its port refuses connections', async t => {
	const server = createServer(socket => {
		socket.resetAndDestroy();
	}).listen(0, host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	t.false(await confirmServerEnd({host, port}));
	server.close();
	await once(server, 'close');
	t.true(await confirmServerEnd({host, port}));
});
