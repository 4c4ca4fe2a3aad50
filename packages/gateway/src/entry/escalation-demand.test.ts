import {toId} from '@valehitch/core';
import test from 'ava';
import {type RouteId} from '../configuration/routing-configuration.js';
import {EscalationDemand} from './escalation-demand.js';

function createDemand(): EscalationDemand {
	return new EscalationDemand({contentionAt: () => ({wait: 0, target: 1500})});
}

test('a prompt is compared with the mean of those that want the largest model', t => {
	const demand = createDemand();
	t.is(demand.relativeTo(500), 1);
	for (let prompt = 0; prompt < 1000; prompt++) {
		demand.recordWanted(prompt % 2 === 0 ? 50 : 150);
	}

	const relative = demand.relativeTo(500);
	t.true(relative > 4.5 && relative < 5.5);
});

test('routes are known apart, and the least recently used is forgotten', t => {
	const demand = createDemand();
	demand.forRoute(toId<RouteId>('first')).confidences.record(10);
	t.true(demand.forRoute(toId<RouteId>('first')).confidences.shareBelow(50) > 0);
	for (let route = 0; route < 1000; route++) {
		t.is(demand.forRoute(toId<RouteId>(`route-${route}`)).confidences.shareBelow(50), 0);
	}

	t.is(demand.forRoute(toId<RouteId>('first')).confidences.shareBelow(50), 0);
});
