import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {type DecisionFields, type DecisionKind} from '../logs/decision-log.js';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {ServerLinks} from './server-links.js';

test('the beginning and the end of a time in which servers are unreachable are logged with their evidence', t => {
	const lines: Array<readonly [DecisionKind, DecisionFields]> = [];
	let now = 1000;
	const links = new ServerLinks({
		clock: {monotonic: () => now},
		metrics: createGatewayMetrics(),
		log(kind, fields) {
			lines.push([kind, fields]);
		},
	});
	links.recordUnreachable('i-1' as ServerId);
	now += 50;
	links.recordUnreachable('i-2' as ServerId);
	links.recordUnreachable('i-3' as ServerId);
	now += 400;
	links.recordConnected();
	links.recordConnected();
	t.deepEqual(lines, [
		['servers-unreachable', {servers: ['i-1', 'i-2'], unreachable: 2, duration: 50}],
		['servers-reachable', {unreachable: 3, duration: 450}],
	]);
});
