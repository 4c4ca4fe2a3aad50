import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import test from 'ava';
import {type InstanceId} from '@valehitch/core';
import {type TunnelFailure, type ProbeResult, Relay} from '@valehitch/transport';
import {Left} from 'purify-ts';
import {checkServerProcess, type CheckServerProcessOptions} from './check-server-process.js';

const host = '127.0.0.1';
const connected = {areConnected: true};
const suspected = {areConnected: false};
const noRelays = {choose: () => undefined};

/** Creates relays by which a server answers a probe as given. */
function relaysThatSee(result: ProbeResult | 'unavailable'): CheckServerProcessOptions['relays'] {
	const relay = new Relay('10.0.0.1' as InstanceId, {open: async () => Left<TunnelFailure>({type: 'peer-unavailable', reason: 'not under test'})});
	relay.probe = async () => result;
	return {choose: () => relay};
}

/** Returns the address of a process that has ended. */
async function endedServer() {
	const server = createServer().listen(0, host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return {host, port};
}

test('a process that accepts connections is running', async t => {
	const server = createServer(socket => {
		socket.resetAndDestroy();
	}).listen(0, host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	t.is(await checkServerProcess({host, port}, {links: connected, relays: relaysThatSee('refused')}), 'running');
	server.close();
});

test('a process that refuses connections has ended only if it refuses those of another instance too', async t => {
	const server = await endedServer();
	t.is(await checkServerProcess(server, {links: suspected, relays: relaysThatSee('refused')}), 'ended');
	t.is(await checkServerProcess(server, {links: connected, relays: relaysThatSee('open')}), 'link-lost');
	t.is(await checkServerProcess(server, {links: connected, relays: relaysThatSee('unanswered')}), 'running');
});

test('without another instance to ask, a refused connection counts unless the links are in doubt', async t => {
	const server = await endedServer();
	t.is(await checkServerProcess(server, {links: connected, relays: noRelays}), 'ended');
	t.is(await checkServerProcess(server, {links: connected, relays: relaysThatSee('unavailable')}), 'ended');
	t.is(await checkServerProcess(server, {links: suspected, relays: noRelays}), 'link-lost');
});
