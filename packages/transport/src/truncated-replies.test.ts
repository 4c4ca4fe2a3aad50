import {once} from 'node:events';
import {type AddressInfo, connect, createServer} from 'node:net';
import {type InstanceId, toId} from '@valehitch/core';
import test from 'ava';
import {type PeerAddress, PeerNetwork} from './peer-network.js';

type Message = {readonly text: string};

type Peer = {
	readonly network: PeerNetwork<Message>;
	readonly address: PeerAddress;
};

function doNothing(): void {
	// The event is not under test.
}

async function listen(name: string): Promise<Peer> {
	const instance = toId<InstanceId>(name);
	const network = await PeerNetwork.listen<Message>({
		self: instance, key: 'a-key-that-all-share', host: '127.0.0.1', port: 0, onMessage: doNothing, onRequest: async (from, {text}) => ({echo: text, from}), onHandlerError: doNothing,
	});
	return {network, address: {instance, host: '127.0.0.1', port: network.port}};
}

test('a reply of a peer that is cut at any byte is no reply', async t => {
	const left = await listen('left');
	const right = await listen('right');
	let remaining = 0;
	let isReset = false;
	const proxy = createServer(caller => {
		const server = connect(right.network.port, '127.0.0.1');
		caller.on('error', doNothing);
		server.on('error', doNothing);
		caller.pipe(server);
		server.on('data', (bytes: Uint8Array) => {
			caller.write(bytes.subarray(0, remaining));
			remaining -= bytes.byteLength;
			if (remaining <= 0) {
				server.destroy();
				if (isReset) {
					caller.resetAndDestroy();
				} else {
					caller.end();
				}
			}
		});
	}).listen(0, '127.0.0.1');
	await once(proxy, 'listening');
	const address = {...right.address, port: (proxy.address() as AddressInfo).port};
	remaining = Number.MAX_SAFE_INTEGER;
	const whole = await left.network.request(address, {text: 'one'});
	t.deepEqual(whole.extract(), {echo: 'one', from: 'left'});
	const bytes = Number.MAX_SAFE_INTEGER - remaining;
	t.true(bytes > 100);
	await left.network.close();
	for (isReset of [false, true]) {
		for (let length = 0; length < bytes; length++) {
			const caller = await listen('left');
			remaining = length;
			const reply = await caller.network.request(address, {text: 'one'});
			t.true(reply.isLeft(), `${length} bytes`);
			await caller.network.close();
		}
	}

	proxy.close();
	await right.network.close();
});
