import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {type InstanceId} from '@valehitch/core';
import {type ProbeResult, type TunnelFailure, Relay} from '@valehitch/transport';
import test from 'ava';
import {Left} from 'purify-ts';
import {testServer} from '../servers/_test-server.js';
import {type ServerIdentity} from './check-server-identity.js';
import {isServerRunning} from './is-server-running.js';

const isReady = {processStateOf: () => 'ready' as const};
const isReplaced = {processStateOf: () => 'replaced' as const};

/** An end that was read at once, so that nobody asks who runs at the address. */
const atOnce = {mayBeLate: false, identify: async (): Promise<ServerIdentity> => 'other'};

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
	t.true(await isServerRunning(server, {
		servers: isReady, relays, relay: undefined, ...atOnce,
	}));
	t.false(await isServerRunning(server, {
		servers: isReplaced, relays, relay: undefined, ...atOnce,
	}));
	listener.close();
});

test('a server that refuses connections is running only if another instance reaches it', async t => {
	const listener = createServer().listen(0, '127.0.0.1');
	await once(listener, 'listening');
	const server = testServer({port: (listener.address() as AddressInfo).port});
	listener.close();
	await once(listener, 'close');
	const isRunning = async (seen: ProbeResult | 'unavailable' | undefined) => isServerRunning(server, {
		servers: isReady, relays: {choose: () => seen === undefined ? undefined : relayThatSees(seen)}, relay: undefined, ...atOnce,
	});
	t.true(await isRunning('open'));
	for (const seen of ['refused', 'unanswered', 'unavailable', undefined] as const) {
		t.false(await isRunning(seen), `the other instance sees ${seen}`);
	}
});

test('a server that was reached through a relay is running only as long as the relay is', async t => {
	const isRunning = async (seen: ProbeResult | 'unavailable') => isServerRunning(testServer(), {
		servers: isReady, relays: {choose: () => undefined}, relay: relayThatSees(seen), ...atOnce,
	});
	t.deepEqual(await Promise.all([isRunning('open'), isRunning('unanswered'), isRunning('refused'), isRunning('unavailable')]), [true, true, false, false]);
});

test('after a late end, the process that accepts connections must be the server that sent the response', async t => {
	const isRunning = async (identity: ServerIdentity) => isServerRunning(testServer(), {
		servers: isReady, relays: {choose: () => undefined}, relay: undefined, mayBeLate: true, identify: async () => identity,
	});
	t.deepEqual(await Promise.all([isRunning('same'), isRunning('other'), isRunning('unknown')]), [true, false, false]);
});

test('after a late end, another instance is asked where this one gets no answer, unless the response came through one', async t => {
	const relay = relayThatSees('open');
	const isRunning = async (used: Relay | undefined) => isServerRunning(testServer(), {
		servers: isReady, relays: {choose: () => relay}, relay: used, mayBeLate: true, identify: async through => through === undefined || used !== undefined ? 'unknown' : 'same',
	});
	t.true(await isRunning(undefined));
	t.false(await isRunning(relay));
});
