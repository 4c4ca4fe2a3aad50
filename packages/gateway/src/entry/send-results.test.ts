import {type ZoneId} from '@valehitch/core';
import {ServerLinks} from '@valehitch/routing';
import test from 'ava';
import {testRoute} from '../configuration/_test-configuration.js';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {testServer} from '../servers/_test-server.js';
import {control, ignore} from './_test-run.js';
import {EntryServers} from './entry-servers.js';
import {EvidenceCounter} from './evidence-counter.js';
import {SendResults} from './send-results.js';

const startMilliseconds = 10_000;
/** More than it takes to eject a server. */
const stalls = 6;
const server = testServer();

/** The links of an instance that is connected. */
const links = new ServerLinks({
	clock: {monotonic: () => 0},
	random: () => 0.5,
	servers: () => [],
	isReachable: async () => true,
	wait: async () => undefined,
	onCutOff: ignore,
	onReachable: ignore,
});

/** Records stalls of a server that sent its last data to anybody some time ago, and returns what is believed of it then and a second later. */
function recordStalls(quietMilliseconds: number) {
	let now = startMilliseconds;
	const clock = {now: () => new Date(now), monotonic: () => now};
	const servers = new EntryServers({
		zone: 'hall-a' as ZoneId, random: () => 0.5, loads: {peerLoadAt: () => 0, recordChange: ignore, discardServer: ignore}, onReplaced: ignore,
	});
	servers.applyRecords([0, 1, 2, 3].map(index => index === 0 ? server : testServer({id: `other-${index}` as typeof server.id, port: server.port + index})), {source: control, now});
	servers.recordData(server.id, now);
	const evidence = new EvidenceCounter({entry: control, run: 'one', clock});
	const results = new SendResults({
		clock, servers, evidence, log: ignore, metrics: createGatewayMetrics(), links,
	}, {request: 'a1', route: testRoute().id});
	now += quietMilliseconds;
	for (let count = 0; count < stalls; count++) {
		results.recordStall(server, undefined);
	}

	const conditionsAt = (time: number) => servers.beliefs(time).find(belief => belief.server === server.id)?.conditions;
	const recorded = {atOnce: conditionsAt(now), later: conditionsAt(now + 1000), evidence: evidence.countersOf(new Set([server.service]))};
	results.recordSuccess(server, {model: undefined, latency: 1});
	return {...recorded, afterAnswer: conditionsAt(now)};
}

test('a server that sent nothing to anybody is not ejected for the streams that stalled together', t => {
	const {atOnce, later, evidence} = recordStalls(600);
	t.deepEqual(atOnce, ['unresponsive']);
	t.deepEqual(later, []);
	t.deepEqual(evidence, recordStalls(0).evidence);
});

test('a server that sends to others is ejected for the streams that stalled', t => {
	const {atOnce, later} = recordStalls(50);
	t.deepEqual([atOnce, later], [['ejected'], ['ejected']]);
});

test('a server is chosen again once an answer has ended, though it sent no other data since its silence', t => {
	t.deepEqual(recordStalls(600).afterAnswer, []);
});
