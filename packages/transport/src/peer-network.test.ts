import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Socket,
} from 'node:net';
import {type InstanceId, toId} from '@valehitch/core';
import test from 'ava';
import {type WebSocket, WebSocketServer} from 'ws';
import {takeTurns} from './_test-event-loop.js';
import {type PeerAddress, PeerNetwork} from './peer-network.js';

type Message = {readonly text: string};

type Peer = {
	readonly network: PeerNetwork<Message>;
	readonly address: PeerAddress;
	readonly received: string[];
};

function doNothing(): void {
	// The handler is not under test.
}

/** Longer than any test waits for a reply, in milliseconds; the waits are counted in turns, of which a blocked process takes none. */
const replyTimeoutMilliseconds = 60_000;

/** Sends a request, and returns the reply if it arrives within a number of turns of at least 10 ms each. */
async function replyWithin(turns: number, {from, to, text}: {readonly from: Peer; readonly to: PeerAddress; readonly text: string}): Promise<unknown> {
	const reply = await Promise.race([
		from.network.request(to, {text}, {timeoutMilliseconds: replyTimeoutMilliseconds}),
		takeTurns(turns),
	]);
	return reply?.extract();
}

async function getsReply(from: Peer, to: Peer, text: string): Promise<boolean> {
	const reply = await replyWithin(50, {from, to: to.address, text}) as {readonly echo?: string} | undefined;
	return reply?.echo === text;
}

async function listen(name: string, key = 'a-key-that-all-share'): Promise<Peer> {
	const received: string[] = [];
	const network = await PeerNetwork.listen<Message>({
		self: toId<InstanceId>(name),
		key,
		host: '127.0.0.1',
		port: 0,
		onMessage(from, {text}) {
			received.push(`${from}: ${text}`);
		},
		onRequest: async (from, {text}) => ({echo: text, from}),
		onHandlerError(from, error) {
			received.push(`${from} failed: ${String(error)}`);
		},
	});
	return {network, received, address: {instance: toId<InstanceId>(name), host: '127.0.0.1', port: network.port}};
}

test('a request gets its reply and carries the id of the sender', async t => {
	const left = await listen('left');
	const right = await listen('right');
	const replies = await Promise.all(['one', 'two', 'three'].map(async text => left.network.request(right.address, {text})));
	t.deepEqual(replies.map(reply => reply.extract()), [
		{echo: 'one', from: 'left'}, {echo: 'two', from: 'left'}, {echo: 'three', from: 'left'},
	]);
	t.true(left.network.traffic.bytesSent > 0);
	t.is(left.network.traffic.framesReceived, 3);
	await Promise.all([left.network.close(), right.network.close()]);
});

test('a handler error is reported, sends no reply and keeps the link usable', async t => {
	const left = await listen('left');
	const right = await listen('right');
	t.true(await getsReply(left, right, 'opens the link'));
	left.network.send(right.address, JSON.parse('null') as Message);
	const failed = await left.network.request(right.address, JSON.parse('null') as Message, {timeoutMilliseconds: 100});
	t.true(failed.isLeft());
	t.true(await getsReply(left, right, 'next'));
	t.is(right.received.filter(line => line.startsWith('left failed: TypeError')).length, 2);
	await Promise.all([left.network.close(), right.network.close()]);
});

test('a blocked link neither sends nor replies, and works again once it is unblocked', async t => {
	const left = await listen('left');
	const right = await listen('right');
	left.network.setBlockedInstances(new Set([right.address.instance]));
	t.false(await getsReply(left, right, 'lost'));
	left.network.setBlockedInstances(new Set());
	right.network.setBlockedInstances(new Set([left.address.instance]));
	t.false(await getsReply(left, right, 'unheard'));
	right.network.setBlockedInstances(new Set());
	t.true(await getsReply(left, right, 'heard'));
	await Promise.all([left.network.close(), right.network.close()]);
});

test('a peer with a different key is refused', async t => {
	const left = await listen('left', 'another-key-than-the-rest');
	const right = await listen('right');
	const reply = await left.network.request(right.address, {text: 'let me in'}, {timeoutMilliseconds: 500});
	t.true(reply.isLeft());
	await Promise.all([left.network.close(), right.network.close()]);
});

test('a link reconnects after the peer restarts on the same address', async t => {
	const left = await listen('left');
	const right = await listen('right');
	t.true(await getsReply(left, right, 'first'));
	await right.network.close();
	t.false(await getsReply(left, right, 'nobody'));
	const again = await PeerNetwork.listen<Message>({
		self: right.address.instance,
		key: 'a-key-that-all-share',
		host: '127.0.0.1',
		port: right.address.port,
		onMessage: doNothing,
		onRequest: async (_from, {text}) => ({echo: text}),
		onHandlerError: doNothing,
	});
	t.true(await getsReply(left, right, 'again'));
	await Promise.all([left.network.close(), again.close()]);
});

test('a link whose peer stops answering pings is closed and reopened', async t => {
	const silent = new WebSocketServer({host: '127.0.0.1', port: 0, autoPong: false});
	await once(silent, 'listening');
	const {port} = silent.address() as AddressInfo;
	const left = await PeerNetwork.listen<Message>({
		self: toId<InstanceId>('left'),
		key: 'a-key-that-all-share',
		host: '127.0.0.1',
		port: 0,
		pingMilliseconds: 50,
		onMessage: doNothing,
		onRequest: async () => undefined,
		onHandlerError: doNothing,
	});
	const to = {instance: toId<InstanceId>('silent'), host: '127.0.0.1', port};
	left.send(to, {text: 'first'});
	const [first] = await once(silent, 'connection') as [WebSocket];
	await once(first, 'close');
	left.send(to, {text: 'second'});
	const [second] = await once(silent, 'connection') as [WebSocket];
	t.not(first, second);
	await left.close();
	for (const socket of silent.clients) {
		socket.terminate();
	}

	silent.close();
});

test('messages, requests and replies carry timestamps', async t => {
	const seen: string[] = [];
	const networks = await Promise.all(['left', 'right'].map(async (name, index) => PeerNetwork.listen<Message>({
		self: toId<InstanceId>(name),
		key: 'a-key-that-all-share',
		host: '127.0.0.1',
		port: 0,
		onMessage: doNothing,
		onRequest: async () => true,
		onHandlerError: doNothing,
		nextTimestamp: () => ({wall: 1000 + index, counter: 7}),
		onTimestamp({wall, counter}) {
			seen.push(`${name} saw ${wall}.${counter}`);
		},
	})));
	t.teardown(async () => {
		await Promise.all(networks.map(async network => network.close()));
	});
	const [left, right] = networks;
	const address = {instance: toId<InstanceId>('right'), host: '127.0.0.1', port: right?.port ?? 0};
	left?.send(address, {text: 'a message'});
	await left?.request(address, {text: 'a request'});
	t.deepEqual(seen, ['right saw 1000.7', 'right saw 1000.7', 'left saw 1001.7']);
});

test('the failure of a request without a reply tells whether the request was sent', async t => {
	const left = await listen('left');
	const right = await listen('right');
	right.network.setBlockedInstances(new Set([left.address.instance]));
	const sent = await left.network.request(right.address, {text: 'unheard'}, {timeoutMilliseconds: 500});
	t.like(sent.extract(), {kind: 'no-quorum', outcome: 'unknown'});
	await right.network.close();
	await left.network.request(right.address, {text: 'breaks the link'}, {timeoutMilliseconds: 500});
	const unsent = await left.network.request(right.address, {text: 'nobody'}, {timeoutMilliseconds: 500});
	t.like(unsent.extract(), {kind: 'no-quorum', outcome: undefined});
	await left.network.close();
});

test('a connection attempt that times out is retried, and queued frames are delivered', async t => {
	const right = await listen('right');
	const stalled: Socket[] = [];
	// Accepts the first connection without responding, as if the SYN packet was lost, and forwards later ones.
	const proxy = createServer(socket => {
		socket.on('error', doNothing);
		if (stalled.length === 0) {
			stalled.push(socket);
			return;
		}

		const upstream = connect(right.address.port, right.address.host);
		upstream.on('error', doNothing);
		socket.pipe(upstream).pipe(socket);
	});
	proxy.listen(0, '127.0.0.1');
	await once(proxy, 'listening');
	const left = await listen('left');
	const reply = await replyWithin(120, {from: left, to: {...right.address, port: (proxy.address() as AddressInfo).port}, text: 'waiting'});
	t.deepEqual(reply, {echo: 'waiting', from: 'left'});
	await Promise.all([left.network.close(), right.network.close()]);
	proxy.close();
});
