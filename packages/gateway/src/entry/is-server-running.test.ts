import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {type InstanceId} from '@valehitch/core';
import {type ProbeResult, type TunnelFailure, Relay} from '@valehitch/transport';
import test from 'ava';
import {Left} from 'purify-ts';
import {testServer} from '../servers/_test-server.js';
import {isServerRunning} from './is-server-running.js';

const isReady = {processStateOf: () => 'ready' as const};
const isReplaced = {processStateOf: () => 'replaced' as const};

function relayThatSees(result: ProbeResult | 'unavailable'): Relay {
	const relay = new Relay('10.0.0.1' as InstanceId, {open: async () => Left<TunnelFailure>({type: 'peer-unavailable', reason: 'not under test'})});
	relay.probe = async () => result;
	return relay;
}

test('a server that accepts a connection is running unless another process has taken its place', async t => {
	const listener = createServer().listen(0, '127.0.0.1');
	await once(listener, 'listening');
	const server = testServer({port: (listener.address() as AddressInfo).port});
	const relays = {choose: () => undefined};
	t.true(await isServerRunning(server, {servers: isReady, relays, relay: undefined}));
	t.false(await isServerRunning(server, {servers: isReplaced, relays, relay: undefined}));
	listener.close();
});

test('a server that refuses connections is running only if another instance reaches it', async t => {
	const listener = createServer().listen(0, '127.0.0.1');
	await once(listener, 'listening');
	const server = testServer({port: (listener.address() as AddressInfo).port});
	listener.close();
	await once(listener, 'close');
	const isRunning = async (seen: ProbeResult | 'unavailable' | undefined) => isServerRunning(server, {
		servers: isReady, relays: {choose: () => seen === undefined ? undefined : relayThatSees(seen)}, relay: undefined,
	});
	t.true(await isRunning('open'));
	for (const seen of ['refused', 'unanswered', 'unavailable', undefined] as const) {
		t.false(await isRunning(seen), `the other instance sees ${seen}`);
	}
});

test('a server that was reached through a relay is running only as long as the relay is', async t => {
	const isRunning = async (seen: ProbeResult | 'unavailable') => isServerRunning(testServer(), {
		servers: isReady, relays: {choose: () => undefined}, relay: relayThatSees(seen),
	});
	t.deepEqual(await Promise.all([isRunning('open'), isRunning('unanswered'), isRunning('refused'), isRunning('unavailable')]), [true, true, false, false]);
});
