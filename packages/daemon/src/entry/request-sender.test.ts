import {once} from 'node:events';
import {connect} from 'node:net';
import {type InstanceId, type ServerId} from '@valehitch/core';
import {
	type HttpRequest, type OpenedTunnel, type OpenTunnel, readResponseBody, Relay, type TunnelFailure,
} from '@valehitch/transport';
import test, {type ExecutionContext} from 'ava';
import {Left, Right} from 'purify-ts';
import {createLinks} from './_test-links.js';
import {listen} from './_test-listen.js';
import {RequestSender} from './request-sender.js';

const server = 'engine-1' as ServerId;
const closedAddress = 'http://127.0.0.1:1';

/** Creates relays that open tunnels as given, in the order in which they are chosen. */
function relaysOf(...tunnels: readonly OpenTunnel[]): {readonly choose: (excluded: ReadonlySet<InstanceId>) => Relay | undefined} {
	const relays = tunnels.map((open, index) => new Relay(`daemon-${index}` as InstanceId, {open}));
	return {choose: excluded => relays.find(({instance}) => !excluded.has(instance))};
}

function requestTo(address: string): HttpRequest {
	return {
		address, method: 'GET', path: '/', headers: {}, body: new Uint8Array(), signal: new AbortController().signal, reuseConnection: false,
	};
}

async function startServer(t: ExecutionContext): Promise<string> {
	return listen(t, (_request, response) => {
		response.end('found');
	});
}

test('an attempt whose connection fails goes through another daemon, and past one that cannot be used', async t => {
	const {port} = new URL(await startServer(t));
	const unavailable: OpenTunnel = async () => Left<TunnelFailure, OpenedTunnel>({type: 'peer-unavailable', reason: 'stopping'});
	const open: OpenTunnel = async () => {
		const socket = connect({host: '127.0.0.1', port: Number(port)});
		await once(socket, 'connect');
		return Right<OpenedTunnel, TunnelFailure>({socket, relayTunnels: undefined});
	};

	const links = createLinks();
	const relays = relaysOf(unavailable, open);
	for (const id of [server, 'engine-2' as ServerId]) {
		t.true(links.areConnected);
		const answer = await new RequestSender({links, relays}).send(id, requestTo(closedAddress));
		const body = await readResponseBody(answer.unsafeCoerce(), 1000);
		t.is(new TextDecoder().decode(body.unsafeCoerce()), 'found');
	}

	t.false(links.areConnected);
});

test('a server that another daemon does not reach either has failed, and is not asked again', async t => {
	let opened = 0;
	const refused: OpenTunnel = async () => {
		opened++;
		return Left<TunnelFailure, OpenedTunnel>({type: 'target-refused', reason: 'refused'});
	};

	const sender = new RequestSender({links: createLinks(), relays: relaysOf(refused)});
	const answer = await sender.send(server, requestTo(closedAddress));
	t.like(answer.extract(), {neverSent: true, isRelayUnavailable: false});
	t.is(opened, 1);
});

test('an attempt that is no longer allowed when its connection is open is sent over no path', async t => {
	let opened = 0;
	const open: OpenTunnel = async () => {
		opened++;
		return Left<TunnelFailure, OpenedTunnel>({type: 'target-refused', reason: 'refused'});
	};

	const address = await startServer(t);
	const links = createLinks();
	const sender = new RequestSender({links, relays: relaysOf(open)});
	const answer = await sender.send(server, {...requestTo(address), mayStillSend: () => false});
	t.like(answer.extract(), {neverSent: true, isWithheld: true});
	t.is(opened, 0);
	t.true(links.areConnected);
});
