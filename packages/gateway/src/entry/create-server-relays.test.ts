import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {type InstanceId} from '@valehitch/core';
import {
	type OpenedTunnel, type TunnelFailure, type OpenRelayTunnel, type ServerRelays,
} from '@valehitch/transport';
import test, {type ExecutionContext} from 'ava';
import {Left, Right} from 'purify-ts';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {testServer} from '../servers/_test-server.js';
import {createServerRelays} from './create-server-relays.js';
import {ignore, listen} from './_test-run.js';
import {sendAttempt, type SendAttemptOptions} from './send-attempt.js';

const systemClock = {now: () => new Date(), monotonic: () => performance.now()};
const peers = ['10.0.0.1', '10.0.0.2'] as InstanceId[];

function createRelays(openTunnel: OpenRelayTunnel): ServerRelays {
	return createServerRelays({
		clock: systemClock, random: () => 0, log: ignore, metrics: createGatewayMetrics(), openTunnel,
	}, {relays: peers, cutOffRelays: new Set()});
}

function failing(type: TunnelFailure['type']): OpenRelayTunnel {
	return async () => Left({type, reason: 'refused'});
}

async function openSocket(_relay: InstanceId, target: {readonly host: string; readonly port: number}) {
	const socket = connect(target);
	await once(socket, 'connect');
	return Right<OpenedTunnel, TunnelFailure>({socket, relayTunnels: undefined});
}

function sendOptions(port: number, changes: Partial<SendAttemptOptions>): SendAttemptOptions {
	return {
		server: testServer({port}), method: 'GET', target: '/', headers: [['Host', 'desk.example']],
		body: new Uint8Array(), mayReuseConnection: true, connectTimeout: 1000, watch: undefined, onConnect: ignore,
		processEnd: new AbortController().signal, isServerRunning: async () => true, clock: {now: () => new Date(), monotonic: () => performance.now()}, ...changes,
	};
}

/** Starts a server that answers with the number of the connection on which a request arrived. */
async function listenCounting(t: ExecutionContext): Promise<number> {
	const sockets: Socket[] = [];
	return listen(t, (message, response) => {
		if (!sockets.includes(message.socket)) {
			sockets.push(message.socket);
		}

		response.end(String(sockets.indexOf(message.socket)));
	});
}

async function connectionOf(options: SendAttemptOptions): Promise<string | undefined> {
	const outcome = await sendAttempt(options).outcome;
	if (outcome.type !== 'head') {
		return outcome.type;
	}

	const parts: string[] = [];
	for await (const part of outcome.message.setEncoding('utf8')) {
		parts.push(String(part));
	}

	return parts.join('');
}

test('requests that may be repeated share a connection through a relay, and others open their own', async t => {
	const port = await listenCounting(t);
	const relays = createRelays(openSocket);
	const relay = relays.choose(new Set());
	t.is(await connectionOf(sendOptions(port, {relay})), '0');
	t.is(await connectionOf(sendOptions(port, {relay})), '0');
	t.is(await connectionOf(sendOptions(port, {relay, mayReuseConnection: false})), '1');
	relays.close();
});

test('no connection through a relay that shuts down is used for another request', async t => {
	const port = await listenCounting(t);
	const relays = createRelays(openSocket);
	const relay = relays.choose(new Set())!;
	t.is(await connectionOf(sendOptions(port, {relay})), '0');
	t.is(await connectionOf(sendOptions(port, {relay})), '0');
	relays.retire(relay.instance);
	t.is(await connectionOf(sendOptions(port, {relay})), '1');
	t.is(await connectionOf(sendOptions(port, {relay})), '2');
	t.not(relays.choose(new Set())?.instance, relay.instance);
	relays.close();
});

test('a relay that cannot be used comes last for a time, and says nothing about the server', async t => {
	const relays = createRelays(failing('peer-unavailable'));
	for (const peer of peers) {
		const relay = relays.choose(new Set());
		t.is(relay?.instance, peer);
		t.is(await connectionOf(sendOptions(9, {relay})), 'relay-unavailable');
	}

	t.is(relays.choose(new Set())?.instance, peers[0]);
	t.is(relays.choose(new Set([peers[0]!])), undefined);
});

test('a server that a relay does not reach either is unreachable, and the relay stays in use', async t => {
	const relays = createRelays(failing('target-refused'));
	const relay = relays.choose(new Set());
	t.is(await connectionOf(sendOptions(9, {relay})), 'unreachable');
	t.is(await connectionOf(sendOptions(9, {relay, mayReuseConnection: false})), 'unreachable');
	t.is(relays.choose(new Set())?.instance, relay?.instance);
	t.is(await relay?.probe(testServer()), 'refused');
});

test('a probe through a relay finds a server that accepts connections', async t => {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	const relay = createRelays(openSocket).choose(new Set());
	t.is(await relay?.probe(testServer({port: (server.address() as AddressInfo).port})), 'open');
});
