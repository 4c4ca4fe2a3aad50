import {Socket} from 'node:net';
import {type InstanceId, type ZoneId} from '@valehitch/core';
import {RequestPath} from '@valehitch/routing';
import {type OpenedTunnel, type TunnelFailure} from '@valehitch/transport';
import test from 'ava';
import {Left, Right} from 'purify-ts';
import {RelayLists} from '../control/relay-lists.js';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {testServer} from '../servers/_test-server.js';
import {createServerRelays} from './create-server-relays.js';
import {KnownPeers} from './known-peers.js';
import {ignore} from './_test-run.js';
import {seededRandom} from './_test-random.js';

const [zone, otherZone] = ['hall-a', 'hall-b'] as ZoneId[] as [ZoneId, ZoneId];
const controls = ['10.0.9.1', '10.0.9.2'] as InstanceId[];
/** Eight instances of one zone, which are all cut off, and two of another one. */
const entries = Array.from({length: 10}, (_, index) => ({instance: `10.0.0.${index}` as InstanceId, zone: index < 8 ? zone : otherZone}));
const cutOff = new Set(entries.filter(entry => entry.zone === zone).map(({instance}) => instance));
const [self] = entries;

/** Creates the peers of an instance, as control instances tell them that each hear of the cut of half of the others. */
function createPeers(): KnownPeers {
	const peers = new KnownPeers({
		self: self!.instance, clock: {monotonic: () => 0}, random: () => 0, send: ignore,
	});
	for (const [index, control] of controls.entries()) {
		const lists = new RelayLists();
		for (const [position, instance] of [...cutOff].entries()) {
			lists.recordLinks(instance, {isCutOff: position % controls.length === index});
		}

		peers.update(control, {entries: [], ...lists.listFor(self!, entries)});
	}

	return peers;
}

for (const timeouts of [0, 1, 2]) {
	test(`requests of an instance that is cut off with its zone are served by the others, after ${timeouts} tunnels through each of them timed out`, async t => {
		let now = 0;
		const opened = new Map<InstanceId, number>();
		const asked: InstanceId[] = [];
		const relays = createServerRelays({
			clock: {now: () => new Date(now), monotonic: () => now},
			random: seededRandom(),
			log: ignore,
			metrics: createGatewayMetrics(),
			async openTunnel(relay) {
				asked.push(relay);
				const count = opened.get(relay) ?? 0;
				opened.set(relay, count + 1);
				return cutOff.has(relay) || count < timeouts
					? Left<TunnelFailure, OpenedTunnel>({type: 'peer-unavailable', reason: 'No answer'})
					: Right<OpenedTunnel, TunnelFailure>({socket: new Socket(), relayTunnels: undefined});
			},
		}, createPeers());
		let served = 0;
		const requests = 20;
		for (let request = 0; request < requests; request++) {
			const path = new RequestPath({links: {isCutOff: true}, relays});
			for (let next = path.next(1); next.type === 'relayed'; next = path.next(1)) {
				if (await next.relay.probe(testServer()) === 'open') {
					served++;
					break;
				}

				path.exclude(next.relay);
			}

			now += 20;
		}

		t.is(served, requests - timeouts);
		t.is(asked.filter(relay => cutOff.has(relay)).length, 2 * timeouts, 'each request that both others failed asks two more');
	});
}
