import {once} from 'node:events';
import {createServer as createHttpServer} from 'node:http';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import {type InstanceId, toId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {type PeerAddress, PeerNetwork, type PeerNetworkOptions} from './peer-network.js';
import {openTunnel, type TunnelFailure} from './open-tunnel.js';
import {TunnelServer} from './tunnel-server.js';
import {type TunnelTarget} from './tunnel-target.js';

const host = '127.0.0.1';
const timeout = {timeoutMilliseconds: 1000};
const key = 'a-key-that-all-share';

function doNothing(): void {
	// The event is not under test.
}

type ListenOptions = Partial<Pick<PeerNetworkOptions<string>, 'isTunnelAllowed' | 'recordTunnelTarget'>>;

async function listen(t: ExecutionContext, options: ListenOptions = {}): Promise<{readonly network: PeerNetwork<string>; readonly address: PeerAddress}> {
	const instance = toId<InstanceId>('left');
	const network = await PeerNetwork.listen<string>({
		self: instance, key, host, port: 0, onMessage: doNothing, onRequest: async () => undefined, onHandlerError: doNothing, ...options,
	});
	t.teardown(async () => {
		await network.close();
	});
	return {network, address: {instance, host, port: network.port}};
}

async function listenTarget(t: ExecutionContext, onConnection: (socket: Socket) => void): Promise<TunnelTarget> {
	const server: Server = createServer(socket => {
		socket.on('error', doNothing);
		onConnection(socket);
	});
	server.listen(0, host);
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	return {host, port: (server.address() as AddressInfo).port};
}

/** Reads a connection until it ends; `isReset` tells whether it was reset. */
async function readAll(socket: Socket): Promise<{readonly text: string; readonly isReset: boolean}> {
	return new Promise(resolve => {
		let text = '';
		let isReset = false;
		socket.setEncoding('utf8');
		socket.on('data', (chunk: string) => {
			text += chunk;
		});
		socket.on('error', () => {
			isReset = true;
		});
		socket.on('close', () => {
			resolve({text, isReset});
		});
	});
}

test('a tunnel passes bytes in both directions and ends with its target', async t => {
	const asked: Array<readonly [InstanceId, TunnelTarget]> = [];
	const {network, address} = await listen(t, {
		isTunnelAllowed(from, wanted) {
			asked.push([from, wanted]);
			return true;
		},
	});
	const target = await listenTarget(t, socket => {
		socket.once('data', (data: Uint8Array) => {
			socket.end(`echo ${new TextDecoder().decode(data)}`);
		});
	});
	const opened = await network.openTunnel(address, target, timeout);
	const {socket, relayTunnels} = opened.unsafeCoerce();
	t.is(relayTunnels, 1);
	socket.write('coil');
	t.deepEqual(await readAll(socket), {text: 'echo coil', isReset: false});
	t.deepEqual(asked, [[toId<InstanceId>('left'), target]]);
});

test('bytes that a relay reads after the tunnel was closed do not reach the target', async t => {
	const {network, address} = await listen(t, {isTunnelAllowed: () => true});
	const received: string[] = [];
	const ended: Array<Promise<unknown>> = [];
	const target = await listenTarget(t, socket => {
		ended.push(once(socket, 'close'));
		socket.on('data', (data: Uint8Array) => {
			received.push(new TextDecoder().decode(data));
		});
	});
	const opened = await network.openTunnel(address, target, timeout);
	const {socket} = opened.unsafeCoerce();
	socket.write('coil');
	socket.destroy();
	while (ended.length === 0) {
		await setImmediate();
	}

	await ended[0];
	t.deepEqual(received, []);
});

test('a tunnel that its instance closes while it stops is reset, and does not look like the end of an answer', async t => {
	const {network, address} = await listen(t, {isTunnelAllowed: () => true});
	const target = await listenTarget(t, socket => {
		socket.write('half of it');
	});
	const opened = await network.openTunnel(address, target, timeout);
	const {socket} = opened.unsafeCoerce();
	const received = readAll(socket);
	await once(socket, 'data');
	void network.close();
	t.deepEqual(await received, {text: 'half of it', isReset: true});
});

test('a target that resets its connection resets the tunnel', async t => {
	const {network, address} = await listen(t, {isTunnelAllowed: () => true});
	const target = await listenTarget(t, socket => {
		socket.write('par');
		socket.once('data', () => {
			socket.resetAndDestroy();
		});
	});
	const opened = await network.openTunnel(address, target, timeout);
	const {socket} = opened.unsafeCoerce();
	socket.write('coil');
	const {isReset} = await readAll(socket);
	t.true(isReset);
});

test('a tunnel whose opener leaves closes the connection to the target', async t => {
	const {network, address} = await listen(t, {isTunnelAllowed: () => true});
	const closed = new Promise<void>(resolve => {
		void listenTarget(t, socket => {
			socket.on('data', doNothing);
			socket.on('close', () => {
				resolve();
			});
		}).then(async target => {
			const opened = await network.openTunnel(address, target, timeout);
			opened.unsafeCoerce().socket.destroy();
		});
	});
	await closed;
	while (network.tunnelCount > 0) {
		await setImmediate();
	}

	t.is(network.tunnelCount, 0);
});

/** Longer than what the kernel takes for a target that reads nothing. */
const longRequestBytes = 7_340_032;
const piece = new Uint8Array(65_536);

/** Writes a request in pieces until it is written or its relay reads no more and the kernel takes no more; returns the bytes that were taken by then. */
async function writeWhileTaken(socket: Socket, size: number): Promise<number> {
	const written = {bytes: 0};
	const writePiece = (): void => {
		if (written.bytes < size && !socket.destroyed) {
			socket.write(piece, () => {
				written.bytes += piece.byteLength;
				writePiece();
			});
		}
	};

	writePiece();
	let before = -1;
	while (written.bytes !== before && written.bytes < size) {
		before = written.bytes;
		await delay(200);
	}

	return written.bytes;
}

const endings = [
	['closes', (socket: Socket) => socket.destroy()],
	['resets', (socket: Socket) => socket.resetAndDestroy()],
] as const;
for (const [name, leave] of endings) {
	test(`a tunnel that its opener ${name} is not kept, though the target reads nothing of a long request`, async t => {
		const {network, address} = await listen(t, {isTunnelAllowed: () => true});
		const accepted: Socket[] = [];
		const target = await listenTarget(t, socket => {
			accepted.push(socket);
		});
		const opened = await network.openTunnel(address, target, timeout);
		const {socket} = opened.unsafeCoerce();
		socket.on('error', doNothing);
		await writeWhileTaken(socket, longRequestBytes);
		leave(socket);
		while (network.tunnelCount > 0) {
			await delay(10);
		}

		let received = 0;
		accepted[0]?.on('data', (bytes: Uint8Array) => {
			received += bytes.byteLength;
		});
		await new Promise(resolve => {
			accepted[0]?.on('close', resolve);
		});
		t.true(received < longRequestBytes, `${received} bytes`);
	});
}

test('a relay stops reading a request whose target reads nothing, and passes it on whole once the target reads', async t => {
	const {network, address} = await listen(t, {isTunnelAllowed: () => true});
	const accepted: Socket[] = [];
	const target = await listenTarget(t, socket => {
		accepted.push(socket);
	});
	const opened = await network.openTunnel(address, target, timeout);
	const {socket} = opened.unsafeCoerce();
	const size = 8 * longRequestBytes;
	t.true(await writeWhileTaken(socket, size) < size);
	let received = 0;
	const whole = new Promise<void>(resolve => {
		accepted[0]?.on('data', (bytes: Uint8Array) => {
			received += bytes.byteLength;
			if (received === size) {
				resolve();
			}
		});
	});
	await whole;
	t.is(received, size);
	socket.destroy();
});

test('a tunnel whose opener leaves before it is open is not kept, though the target says nothing', async t => {
	const asked: TunnelTarget[] = [];
	const {network, address} = await listen(t, {
		isTunnelAllowed(_from, wanted) {
			asked.push(wanted);
			return true;
		},
	});
	const target = await listenTarget(t, socket => {
		socket.resume();
	});
	const head = `CONNECT ${target.host}:${target.port} HTTP/1.1\r\nHost: left\r\nAuthorization: Bearer ${key}\r\n\r\n`;
	const opener = connect(address.port, host);
	opener.write(head, () => {
		opener.destroy();
	});
	while (asked.length === 0 || network.tunnelCount > 0) {
		await setImmediate();
	}

	t.deepEqual(asked, [target]);
	t.is(network.tunnelCount, 0);
});

async function failureOf(network: PeerNetwork<string>, peer: PeerAddress, target: TunnelTarget): Promise<TunnelFailure['type'] | undefined> {
	const opened = await network.openTunnel(peer, target, timeout);
	return opened.swap().toMaybe().map(({type}) => type).extract();
}

test('a peer that is refused a tunnel and does not end its connection is disconnected', async t => {
	const {address} = await listen(t);
	const caller = connect({host, port: address.port, allowHalfOpen: true});
	t.teardown(() => {
		caller.destroy();
	});
	const closed = new Promise(resolve => {
		caller.on('error', doNothing);
		caller.on('close', resolve);
	});
	const pump = (): void => {
		while (!caller.destroyed && caller.write('x'.repeat(64 * 1024))) {
			// The connection takes more.
		}
	};

	caller.on('drain', pump);
	caller.write(`CONNECT ${host}:1 HTTP/1.1\r\nHost: a\r\n\r\n`);
	pump();
	await closed;
	t.true(caller.destroyed);
});

test('a failure to open a tunnel tells a target that refuses from a peer that does', async t => {
	const refused = {host, port: 1};
	const {network, address} = await listen(t, {isTunnelAllowed: () => true});
	t.is(await failureOf(network, address, refused), 'target-refused');
	t.is(await failureOf(network, {...address, port: 1}, refused), 'peer-unavailable');

	const closed = await listen(t);
	t.is(await failureOf(network, closed.address, refused), 'peer-unavailable');
});

test('a peer that gives no answer in time is named with the limit and the time after which that was noticed', async t => {
	const peer = await listenTarget(t, doNothing);
	const opened = await openTunnel({...peer, instance: toId<InstanceId>('left')}, {
		self: toId<InstanceId>('right'), key, target: {host, port: 1}, timeout: 20,
	});
	const {type, reason} = opened.swap().unsafeCoerce();
	t.is(type, 'peer-unavailable');
	t.regex(reason, /^No answer from left within 20 ms \(noticed after \d+ ms\)$/v);
});

test('a daemon with another key cannot open a tunnel', async t => {
	const {address} = await listen(t, {isTunnelAllowed: () => true});
	const target = await listenTarget(t, doNothing);
	const stranger = await PeerNetwork.listen<string>({
		self: toId<InstanceId>('right'), key: 'another-key', host, port: 0, onMessage: doNothing, onRequest: async () => undefined, onHandlerError: doNothing,
	});
	t.is(await failureOf(stranger, address, target), 'peer-unavailable');
	await stranger.close();
});

test('a peer whose own links are in doubt does not blame a target that it does not reach', async t => {
	const results: boolean[] = [];
	const {network, address} = await listen(t, {
		isTunnelAllowed: () => true,
		recordTunnelTarget(_target, isOpen) {
			results.push(isOpen);
			return isOpen;
		},
	});
	t.is(await failureOf(network, address, {host, port: 1}), 'peer-unavailable');
	const target = await listenTarget(t, doNothing);
	const opened = await network.openTunnel(address, target, timeout);
	opened.unsafeCoerce().socket.destroy();
	t.deepEqual(results, [false, true]);
});

// The reset of a connection whose end is being sent fails, and left the connection open for good.
test('an instance that stops while the end of an answer is being sent through a tunnel leaves no connection open', async t => {
	const target = await listenTarget(t, socket => {
		socket.end('whole');
	});
	const tunnels = new TunnelServer({key, isAllowed: () => true, recordTarget: () => true});
	const relay = createHttpServer().listen(0, host);
	await once(relay, 'listening');
	const errors: Array<string | undefined> = [];
	const closed = new Promise<void>(resolve => {
		relay.on('connect', (request, caller: Socket) => {
			const end = caller.end.bind(caller);
			caller.end = (): Socket => {
				end();
				tunnels.close();
				return caller;
			};

			caller.on('error', ({code}: NodeJS.ErrnoException) => {
				errors.push(code);
				resolve();
			});
			caller.on('close', () => {
				resolve();
			});
			tunnels.handle(request, caller);
		});
	});
	const peer = {instance: toId<InstanceId>('left'), host, port: (relay.address() as AddressInfo).port};
	const opened = await openTunnel(peer, {
		self: toId<InstanceId>('right'), key, target, timeout: 1000,
	});
	const received = readAll(opened.unsafeCoerce().socket);
	await closed;
	t.deepEqual(errors, []);
	t.deepEqual(await received, {text: 'whole', isReset: false});
	t.is(tunnels.count, 0);
	relay.close();
});

test('an answer of a peer to a request for a tunnel that is cut at any byte opens no tunnel', async t => {
	const answer = 'HTTP/1.1 200 Connection Established\r\nvalehitch-open-tunnels: 1\r\n\r\n';
	let length = 0;
	let isReset = false;
	const peer = await listenTarget(t, socket => {
		socket.once('data', () => {
			socket.write(answer.slice(0, length), () => {
				if (isReset) {
					socket.resetAndDestroy();
				} else {
					socket.end();
				}
			});
		});
	});
	const {network} = await listen(t);
	for (isReset of [false, true]) {
		for (length = 0; length < answer.length; length++) {
			t.is(await failureOf(network, {instance: toId<InstanceId>('right'), ...peer}, {host, port: 1}), 'peer-unavailable', `${length} bytes`);
		}
	}
});
