import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import test from 'ava';
import {reachServer} from './reach-server.js';

const timeout = 5000;

test('a server is reachable if it accepts connections, even if it never answers', async t => {
	const server = createServer(() => {
		// Sends no data.
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	t.true(await reachServer({host: '127.0.0.1', port}, timeout));
	server.close();
	await once(server, 'close');
	t.false(await reachServer({host: '127.0.0.1', port}, timeout));
});
