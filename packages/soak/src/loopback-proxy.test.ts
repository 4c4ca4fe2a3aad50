import {once} from 'node:events';
import {type AddressInfo, connect, createServer} from 'node:net';
import test from 'ava';
import {type LinkRule, LoopbackProxy} from './loopback-proxy.js';

const noRule: LinkRule = {isSilent: false, delay: 0};

test('a proxy forwards data, holds it back while the link is silent, and resets connections', async t => {
	const server = createServer(socket => {
		socket.on('error', () => {
			socket.destroy();
		});
		socket.pipe(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	let rule = noRule;
	const proxy = await LoopbackProxy.start({
		host: '127.0.0.1', port: 0, target: {host: '127.0.0.1', port: (server.address() as AddressInfo).port}, ruleOf: () => rule,
	});
	const caller = connect(proxy.port, '127.0.0.1');
	const received: string[] = [];
	caller.setEncoding('utf8').on('data', text => {
		received.push(String(text));
	});
	caller.write('one');
	await once(caller, 'data');
	rule = {isSilent: true, delay: 0};
	caller.write('two');
	await new Promise(resolve => {
		setTimeout(resolve, 200);
	});
	t.deepEqual(received, ['one']);
	rule = noRule;
	await once(caller, 'data');
	t.deepEqual(received, ['one', 'two']);
	const failed = once(caller, 'error');
	proxy.reset();
	const [error] = await failed as [NodeJS.ErrnoException];
	t.is(error.code, 'ECONNRESET');
	proxy.close();
	server.close();
});
