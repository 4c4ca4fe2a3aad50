import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Socket,
} from 'node:net';
import {type InstanceId, toId} from '@valehitch/core';
import test from 'ava';
import {type WebSocket, WebSocketServer} from 'ws';
import {type PeerAddress, PeerNetwork} from './peer-network.js';

type Message = {readonly text: string};

type Peer = {
	readonly network: PeerNetwork<Message>;
	readonly address: PeerAddress;
	readonly heard: string[];
};

function ignore(): void {
	// Nothing to note.
}

async function isAnswered(from: Peer, to: Peer, text: string): Promise<boolean> {
	const reply = await from.network.request(to.address, {text}, {timeoutMilliseconds: 500});
	return reply.isRight();
}

async function listen(name: string, key = 'a-key-that-all-share'): Promise<Peer> {
	const heard: string[] = [];
	const network = await PeerNetwork.listen<Message>({
		self: toId<InstanceId>(name),
		key,
		host: '127.0.0.1',
		port: 0,
		onMessage(from, {text}) {
			heard.push(`${from}: ${text}`);
		},
		onRequest: async (from, {text}) => ({echo: text, from}),
		onFailure(from, error) {
			heard.push(`${from} failed: ${String(error)}`);
		},
	});
	return {network, heard, address: {instance: toId<InstanceId>(name), host: '127.0.0.1', port: network.port}};
}

test('a request gets its reply and says who asked', async t => {
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

test('a message that its handler fails on is reported and gets no reply, and the link goes on', async t => {
	const left = await listen('left');
	const right = await listen('right');
	left.network.send(right.address, JSON.parse('null') as Message);
	const failed = await left.network.request(right.address, JSON.parse('null') as Message, {timeoutMilliseconds: 100});
	t.true(failed.isLeft());
	t.true(await isAnswered(left, right, 'next'));
	t.is(right.heard.filter(line => line.startsWith('left failed: TypeError')).length, 2);
	await Promise.all([left.network.close(), right.network.close()]);
});

test('a cut link neither sends nor replies, and works again once it is mended', async t => {
	const left = await listen('left');
	const right = await listen('right');
	left.network.cut(new Set([right.address.instance]));
	t.false(await isAnswered(left, right, 'lost'));
	left.network.cut(new Set());
	right.network.cut(new Set([left.address.instance]));
	t.false(await isAnswered(left, right, 'unheard'));
	right.network.cut(new Set());
	t.true(await isAnswered(left, right, 'heard'));
	await Promise.all([left.network.close(), right.network.close()]);
});

test('a peer with another key is not let in', async t => {
	const left = await listen('left', 'another-key-than-the-rest');
	const right = await listen('right');
	const reply = await left.network.request(right.address, {text: 'let me in'}, {timeoutMilliseconds: 500});
	t.true(reply.isLeft());
	await Promise.all([left.network.close(), right.network.close()]);
});

test('a link is opened again after the peer came back on the same address', async t => {
	const left = await listen('left');
	const right = await listen('right');
	t.true(await isAnswered(left, right, 'first'));
	await right.network.close();
	t.false(await isAnswered(left, right, 'nobody'));
	const again = await PeerNetwork.listen<Message>({
		self: right.address.instance, key: 'a-key-that-all-share', host: '127.0.0.1', port: right.address.port, onMessage: ignore, onRequest: async () => 'back', onFailure: ignore,
	});
	t.true(await isAnswered(left, right, 'again'));
	await Promise.all([left.network.close(), again.close()]);
});

test('a link whose peer no longer answers is ended and opened again', async t => {
	const silent = new WebSocketServer({host: '127.0.0.1', port: 0, autoPong: false});
	await once(silent, 'listening');
	const {port} = silent.address() as AddressInfo;
	const left = await PeerNetwork.listen<Message>({
		self: toId<InstanceId>('left'), key: 'a-key-that-all-share', host: '127.0.0.1', port: 0, pingMilliseconds: 50, onMessage: ignore, onRequest: async () => undefined, onFailure: ignore,
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

test('time stamps travel with messages, requests and replies', async t => {
	const seen: string[] = [];
	const networks = await Promise.all(['left', 'right'].map(async (name, index) => PeerNetwork.listen<Message>({
		self: toId<InstanceId>(name),
		key: 'a-key-that-all-share',
		host: '127.0.0.1',
		port: 0,
		onMessage: ignore,
		onRequest: async () => true,
		onFailure: ignore,
		stamp: () => ({wall: 1000 + index, counter: 7}),
		onStamp({wall, counter}) {
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

test('a request that got no reply says whether it was sent', async t => {
	const left = await listen('left');
	const right = await listen('right');
	right.network.cut(new Set([left.address.instance]));
	const sent = await left.network.request(right.address, {text: 'unheard'}, {timeoutMilliseconds: 500});
	t.like(sent.extract(), {kind: 'no-quorum', outcome: 'unknown'});
	await right.network.close();
	await left.network.request(right.address, {text: 'breaks the link'}, {timeoutMilliseconds: 500});
	const unsent = await left.network.request(right.address, {text: 'nobody'}, {timeoutMilliseconds: 500});
	t.like(unsent.extract(), {kind: 'no-quorum', outcome: undefined});
	await left.network.close();
});

test('a connection that does not open is given up for another, and what waits for it arrives', async t => {
	const right = await listen('right');
	const stalled: Socket[] = [];
	// Takes the first connection and says nothing, as where the packet that opens one was lost; passes on the others.
	const front = createServer(socket => {
		socket.on('error', ignore);
		if (stalled.length === 0) {
			stalled.push(socket);
			return;
		}

		const onward = connect(right.address.port, right.address.host);
		onward.on('error', ignore);
		socket.pipe(onward).pipe(socket);
	});
	front.listen(0, '127.0.0.1');
	await once(front, 'listening');
	const left = await listen('left');
	const reply = await left.network.request({...right.address, port: (front.address() as AddressInfo).port}, {text: 'waiting'}, {timeoutMilliseconds: 1200});
	t.deepEqual(reply.extract(), {echo: 'waiting', from: 'left'});
	await Promise.all([left.network.close(), right.network.close()]);
	front.close();
});
