import {
	type InstanceId, type ModelId, type ServiceId, type VersionId,
} from '@valehitch/core';
import test from 'ava';
import {type RouteId} from '../configuration/routing-configuration.js';
import {emptyWaitTable, waitIntervalOf} from '../rollouts/wait-table.js';
import {EvidenceCounter} from './evidence-counter.js';

const service = 'summaries' as ServiceId;
const source = {
	service, version: 'v2' as VersionId, route: 'drafts' as RouteId, model: 'small' as ModelId,
};

function startCounter() {
	let now = 0;
	const counter = new EvidenceCounter({entry: 'entry-1' as InstanceId, run: 'one', clock: {monotonic: () => now}});
	return {
		counter,
		waits: () => counter.countersOf(new Set([service])).at(0)?.waits ?? emptyWaitTable,
		passTime(milliseconds: number) {
			now += milliseconds;
		},
	};
}

test('a send that still waits is counted, and once only', t => {
	const {counter, waits, passTime} = startCounter();
	const wait = counter.beginWait(source);
	passTime(400);
	const reached = waitIntervalOf(400);
	t.deepEqual(waits().exposed.slice(reached - 1, reached + 1), [1, 0]);
	t.deepEqual(waits(), waits());
	passTime(400);
	wait.end({isAnswered: true});
	wait.end({isAnswered: true});
	const end = waitIntervalOf(800);
	t.true(waits().exposed.every((count, interval) => count === (interval <= end ? 1 : 0)));
	t.is(waits().answered[end], 1);
});

test('a send that has ended without an answer no longer counts as waiting', t => {
	const {counter, waits, passTime} = startCounter();
	const wait = counter.beginWait(source);
	passTime(400);
	wait.end({isAnswered: false});
	const ended = waits();
	passTime(4000);
	t.deepEqual(waits(), ended);
	t.deepEqual(ended.answered, emptyWaitTable.answered);
});
