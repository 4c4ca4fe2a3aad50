import {once} from 'node:events';
import {
	type AddressInfo, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type InstanceId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {Left} from 'purify-ts';
import {nextPoll} from './next-poll.js';
import {PeerNetwork} from './peer-network.js';
import {probeAddress} from './probe-address.js';
import {Relay} from './relay.js';

const host = '127.0.0.1';
const timeout = 1000;

async function listen(t: ExecutionContext, onConnection: (socket: Socket, server: Server) => void): Promise<{readonly port: number; readonly count: () => number}> {
	let count = 0;
	const server: Server = createServer({allowHalfOpen: true}, socket => {
		count++;
		socket.on('error', () => {
			socket.destroy();
		});
		onConnection(socket, server);
	}).listen(0, host);
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	return {port: (server.address() as AddressInfo).port, count: () => count};
}

async function startRelay(t: ExecutionContext): Promise<Relay> {
	const instance = 'entry-2' as InstanceId;
	const network = await PeerNetwork.listen<string>({
		self: instance, key: 'k', host, port: 0, onMessage: () => undefined, onRequest: async () => undefined, onHandlerError: () => undefined, isTunnelAllowed: () => true,
	});
	t.teardown(async () => network.close());
	return new Relay(instance, {open: async target => network.openTunnel({instance, host, port: network.port}, target)});
}

const probes = {
	directly: async () => async (port: number) => probeAddress({host, port}, timeout),
	async 'through a relay'(t: ExecutionContext) {
		const relay = await startRelay(t);
		return async (port: number) => relay.probe({host, port});
	},
};

for (const [way, prepare] of Object.entries(probes)) {
	test(`an address at which a process resets the connection and stops listening is refused, ${way}`, async t => {
		const probe = await prepare(t);
		const {port} = await listen(t, (socket, server) => {
			server.close();
			socket.resetAndDestroy();
		});
		t.is(await probe(port), 'refused');
	});

	test(`an address at which a process goes on listening is open, ${way}`, async t => {
		const probe = await prepare(t);
		const resetting = await listen(t, socket => {
			socket.resetAndDestroy();
		});
		t.not(await probe(resetting.port), 'refused');
		t.is(resetting.count(), 2);
		const closing = await listen(t, socket => {
			socket.resume();
			socket.on('end', () => {
				socket.end();
			});
		});
		t.is(await probe(closing.port), 'open');
		const silent = await listen(t, socket => {
			socket.resume();
			t.teardown(() => {
				socket.destroy();
			});
		});
		t.is(await probe(silent.port), 'open');
		t.deepEqual([closing.count(), silent.count()], [1, 1]);
	});
}

test('an address that does not answer a relay is not tried again through it', async t => {
	let opened = 0;
	const relay = new Relay('entry-2' as InstanceId, {
		async open() {
			opened++;
			await delay(100);
			await nextPoll();
			return Left({type: 'target-unanswered', reason: 'no answer'});
		},
	});
	t.is(await relay.probe({host, port: 1}), 'unanswered');
	t.is(opened, 1);
});
