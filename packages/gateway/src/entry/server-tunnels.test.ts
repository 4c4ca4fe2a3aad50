import {type ServerId, type ServiceId} from '@valehitch/core';
import {ServerLinks} from '@valehitch/routing';
import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {ignore} from './_test-run.js';
import {ServerTunnels} from './server-tunnels.js';

const [labels, records] = ['labels', 'records'] as ServiceId[];
const known = [1, 2, 3].map(port => testServer({id: `i-${port}` as ServerId, service: port === 3 ? records! : labels!, port}));

function addressOf(port: number) {
	return {host: known[0]!.host, port};
}

function createTunnels() {
	const state = {isStopping: false};
	const links = new ServerLinks({
		clock: {monotonic: () => 0}, random: () => 0.5, servers: () => known, isReachable: async () => false, wait: async () => new Promise<void>(ignore), onCutOff: ignore, onReachable: ignore,
	});
	const tunnels = new ServerTunnels({
		links, servers: {availability: {serverAt: ({port}) => known.find(server => server.port === port)}}, isStopping: () => state.isStopping,
	});
	return {tunnels, links, state};
}

test('an instance opens connections to known servers only, and none while it stops', t => {
	const {tunnels, state} = createTunnels();
	t.true(tunnels.mayOpen(addressOf(1), 0));
	t.false(tunnels.mayOpen(addressOf(9), 0));
	state.isStopping = true;
	t.false(tunnels.mayOpen(addressOf(1), 0));
});

test('an instance that fails to reach two servers for others blames the first only, then refuses for their service but not for another', async t => {
	const {tunnels, links} = createTunnels();
	t.true(tunnels.recordTarget(addressOf(1), false));
	t.false(tunnels.recordTarget(addressOf(2), false));
	while (!links.isCutOff) {
		await Promise.resolve();
	}

	t.false(tunnels.mayOpen(addressOf(1), 0));
	t.true(tunnels.mayOpen(addressOf(3), 0));
	t.true(tunnels.recordTarget(addressOf(2), true));
	t.true(tunnels.mayOpen(addressOf(1), 0));
});
