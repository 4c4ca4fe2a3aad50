import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import test from 'ava';
import {isServerReachable} from './is-server-reachable.js';

const timeout = 5000;

test('a server is reachable if it accepts connections, even if it never answers', async t => {
	const server = createServer(() => {
		// Sends no data.
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	t.true(await isServerReachable({host: '127.0.0.1', port}, timeout));
	server.close();
	await once(server, 'close');
	t.false(await isServerReachable({host: '127.0.0.1', port}, timeout));
});
