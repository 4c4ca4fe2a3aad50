import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type InstanceId, toId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {PeerNetwork} from './peer-network.js';
import {readResponseBody} from './read-response-body.js';
import {Relay} from './relay.js';
import {sendHttpRequest} from './send-http-request.js';

/** How a server ends its connection, once it has sent a part of its answer; `read-on` reads the rest of the request before it does. */
type Ending = 'reset' | 'closed' | 'ended-then-reset' | 'read-on';

type Answer = {
	readonly head: string;
	readonly ending: Ending;
	/** Whether the server reads the whole request before it answers; otherwise its first bytes. */
	readonly readsAll: boolean;
};

const headWithoutLength = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
const headEnd = '\r\n\r\n';
const part = 'one';
const requestBytes = 1_000_000;
const attempts = 10;
const maximumBytes = 10_000;
const resetDelay = 5;

function ignore(): void {
	// The event is not under test.
}

function end(socket: Socket, ending: Ending): void {
	switch (ending) {
		case 'reset': {
			socket.resetAndDestroy();
			break;
		}

		case 'closed': {
			socket.destroy();
			break;
		}

		case 'ended-then-reset': {
			socket.end(() => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, resetDelay);
			});
			break;
		}

		case 'read-on': {
			break;
		}
	}
}

async function startServer(t: ExecutionContext, {head, ending, readsAll}: Answer): Promise<number> {
	const server = createServer({allowHalfOpen: true}, socket => {
		let received = 0;
		let requestLength = Number.POSITIVE_INFINITY;
		let hasAnswered = false;
		socket.on('error', ignore);
		socket.on('data', bytes => {
			if (received === 0) {
				requestLength = bytes.indexOf(headEnd) + headEnd.length + requestBytes;
			}

			received += bytes.byteLength;
			if (!hasAnswered && (!readsAll || received >= requestLength)) {
				hasAnswered = true;
				socket.write(`${head}${part}`, () => {
					end(socket, ending);
				});
			}

			if (ending === 'read-on' && received >= requestLength) {
				socket.end();
			}
		});
		t.teardown(() => {
			socket.destroy();
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	return (server.address() as AddressInfo).port;
}

async function startRelay(t: ExecutionContext): Promise<Relay> {
	const instance = toId<InstanceId>('relay');
	const network = await PeerNetwork.listen<string>({
		self: instance, key: 'k', host: '127.0.0.1', port: 0, onMessage: ignore, onRequest: async () => undefined, onHandlerError: ignore, isTunnelAllowed: () => true,
	});
	t.teardown(async () => network.close());
	const address = {instance, host: '127.0.0.1', port: network.port};
	return new Relay(instance, {open: async target => network.openTunnel(address, target)});
}

/** Sends a long request; returns the body of a complete answer. */
async function upload(port: number, relay: Relay | undefined): Promise<string | undefined> {
	const response = await sendHttpRequest({
		address: `http://127.0.0.1:${port}`, method: 'POST', path: '/', headers: {}, body: new Uint8Array(requestBytes), signal: new AbortController().signal, reuseConnection: false, relay,
	});
	if (response.isLeft()) {
		return undefined;
	}

	const body = await readResponseBody(response.unsafeCoerce(), maximumBytes);
	return body.isRight() ? new TextDecoder().decode(body.unsafeCoerce()) : undefined;
}

for (const isRelayed of [false, true]) {
	const way = isRelayed ? ', through a relay' : '';
	for (const ending of ['reset', 'closed', 'ended-then-reset'] satisfies Ending[]) {
		test(`a part of an answer without a length is not complete if its connection is ${ending} before the request was read${way}`, async t => {
			const port = await startServer(t, {head: headWithoutLength, ending, readsAll: false});
			const relay = isRelayed ? await startRelay(t) : undefined;
			for (let attempt = 0; attempt < attempts; attempt++) {
				t.is(await upload(port, relay), undefined);
			}
		});
	}

	test(`an answer without a length is complete if its server has read the whole request before it closes${way}`, async t => {
		const relay = isRelayed ? await startRelay(t) : undefined;
		for (const answer of [{ending: 'closed', readsAll: true}, {ending: 'read-on', readsAll: false}] as const) {
			const port = await startServer(t, {head: headWithoutLength, ...answer});
			t.is(await upload(port, relay), part);
			await delay(resetDelay);
		}
	});

	test(`an answer with a length is complete though its server does not read the request${way}`, async t => {
		const relay = isRelayed ? await startRelay(t) : undefined;
		const port = await startServer(t, {head: `HTTP/1.1 200 OK\r\nContent-Length: ${part.length}\r\n\r\n`, ending: 'ended-then-reset', readsAll: false});
		t.is(await upload(port, relay), part);
	});
}
