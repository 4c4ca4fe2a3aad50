import {type InstanceId, type ServerId, type ServiceId} from '@valehitch/core';
import {ServerLinks} from '@valehitch/routing';
import test from 'ava';
import {type DecisionLog} from '../logs/decision-log.js';
import {testServer} from '../servers/_test-server.js';
import {ignore} from './_test-run.js';
import {ServerTunnels} from './server-tunnels.js';

const [labels, records] = ['labels', 'records'] as ServiceId[];
const known = [1, 2, 3].map(port => testServer({id: `i-${port}` as ServerId, service: port === 3 ? records! : labels!, port}));

const request = {from: 'front-2' as InstanceId, openTunnels: 0};

function addressOf(port: number) {
	return {host: known[0]!.host, port};
}

function createTunnels() {
	const state = {isStopping: false};
	const lines: Array<Parameters<DecisionLog>> = [];
	const links = new ServerLinks({
		clock: {monotonic: () => 0}, random: () => 0.5, servers: () => known, isReachable: async () => false, wait: async () => new Promise<void>(ignore), onCutOff: ignore, onReachable: ignore,
	});
	const tunnels = new ServerTunnels({
		links,
		servers: {availability: {serverAt: ({port}) => known.find(server => server.port === port)}},
		isStopping: () => state.isStopping,
		log(...line) {
			lines.push(line);
		},
	});
	return {
		tunnels, links, state, lines,
	};
}

test('an instance opens connections to known servers only, and none while it stops', t => {
	const {tunnels, state} = createTunnels();
	t.true(tunnels.mayOpen(addressOf(1), request));
	t.false(tunnels.mayOpen(addressOf(9), request));
	state.isStopping = true;
	t.false(tunnels.mayOpen(addressOf(1), request));
});

test('an instance that fails to reach two servers for others blames the first only, then refuses for their service but not for another', async t => {
	const {tunnels, links} = createTunnels();
	t.true(tunnels.recordTarget(addressOf(1), false));
	t.false(tunnels.recordTarget(addressOf(2), false));
	while (!links.isCutOff) {
		await Promise.resolve();
	}

	t.false(tunnels.mayOpen(addressOf(1), request));
	t.true(tunnels.mayOpen(addressOf(3), request));
	t.true(tunnels.recordTarget(addressOf(2), true));
	t.true(tunnels.mayOpen(addressOf(1), request));
});

test('a connection that is refused is logged with the reason and the instance that asked, and one that may be opened is not', async t => {
	const {tunnels, links, state, lines} = createTunnels();
	const server = {server: 'i-1', service: 'labels'};
	tunnels.mayOpen(addressOf(1), {...request, openTunnels: 511});
	tunnels.recordTarget(addressOf(1), true);
	t.deepEqual(lines, []);
	tunnels.mayOpen(addressOf(1), {...request, openTunnels: 512});
	tunnels.mayOpen(addressOf(9), request);
	tunnels.recordTarget(addressOf(1), false);
	tunnels.recordTarget(addressOf(2), false);
	while (!links.isCutOff) {
		await Promise.resolve();
	}

	tunnels.mayOpen(addressOf(1), request);
	state.isStopping = true;
	tunnels.mayOpen(addressOf(1), request);
	t.deepEqual(lines, [
		['tunnel-refused', {
			...request, ...server, openTunnels: 512, reason: 'too-many-tunnels',
		}, 'warn'],
		['tunnel-refused', {
			...request, server: `${known[0]!.host}:9`, service: undefined, reason: 'unknown-server',
		}, 'warn'],
		['tunnel-refused', {...server, reason: 'server-unreachable'}, 'warn'],
		['tunnel-refused', {...server, server: 'i-2', reason: 'links-suspected'}, 'warn'],
		['tunnel-refused', {...request, ...server, reason: 'cut-off'}, 'warn'],
		['tunnel-refused', {...request, ...server, reason: 'stopping'}, 'warn'],
	]);
});
