import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import test from 'ava';
import {hasServerEnded} from './has-server-ended.js';

const host = '127.0.0.1';

test('a process has ended only if its port refuses connections', async t => {
	const server = createServer(socket => {
		socket.resetAndDestroy();
	}).listen(0, host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	t.false(await hasServerEnded({host, port}));
	server.close();
	await once(server, 'close');
	t.true(await hasServerEnded({host, port}));
});
