import {
	type InstanceId, type ServiceId, type VersionId,
} from '@valehitch/core';
import test from 'ava';
import {type RouteId} from '../configuration/routing-configuration.js';
import {findRegression} from './find-regression.js';
import {type Rollout} from './rollout.js';
import {type VersionEvidence} from './version-evidence.js';
import {
	addWaits, emptyWaitTable, recordWait, waitIntervalOf, type WaitTable,
} from './wait-table.js';

const rollout: Rollout = {
	service: 'summaries' as ServiceId, target: 'v2' as VersionId, duration: 20_000, stage: 'canary', orderedAt: 0,
};

function counted(version: string, changes: Partial<VersionEvidence> = {}): VersionEvidence {
	return {
		entry: 'entry-1' as InstanceId,
		run: 'one',
		service: rollout.service,
		version: version as VersionId,
		route: 'drafts' as RouteId,
		model: 'small',
		answers: 100,
		failures: 0,
		latencySum: 20_000,
		...changes,
	};
}

function waits(milliseconds: number, {sends, isAnswered}: {readonly sends: number; readonly isAnswered: boolean}): WaitTable {
	let table = emptyWaitTable;
	for (let send = 0; send < sends; send++) {
		table = recordWait(table, {first: 0, end: waitIntervalOf(milliseconds), isAnswered});
	}

	return table;
}

test('a version that fails more often than the old one has regressed well before its 50th failure', t => {
	t.is(findRegression(rollout, [counted('v1', {failures: 4}), counted('v2', {answers: 12, failures: 4})]), 'failures');
	t.is(findRegression(rollout, [counted('v1', {failures: 14}), counted('v2', {answers: 40, failures: 6})]), undefined);
});

test('failures on a single route are a regression, also during the shifting stage', t => {
	const evidence = [counted('v1'), counted('v1', {route: 'labels' as RouteId}), counted('v2'), counted('v2', {route: 'labels' as RouteId, answers: 9, failures: 5})];
	t.is(findRegression({...rollout, stage: 'shifting'}, evidence), 'failures');
});

test('a version that is several times slower on a route has regressed', t => {
	t.is(findRegression(rollout, [counted('v1'), counted('v2', {answers: 8, latencySum: 8 * 1600})]), 'slow-route');
	t.is(findRegression(rollout, [counted('v1'), counted('v2', {answers: 8, latencySum: 8 * 390})]), undefined);
});

// Few answers on each of several routes and models never reached the minimum of one of them.
test('a version that is four times slower has regressed although few answers came on each route and model', t => {
	const cells = ['drafts', 'labels', 'reports'].flatMap(route => ['small', 'large'].map(model => ({route: route as RouteId, model})));
	const old = cells.map(cell => counted('v1', cell));
	const after = (factor: number, started: number): readonly VersionEvidence[] => [...old, ...cells.map(cell => counted('v2', {
		...cell, answers: 0, latencySum: 0, started, startSum: started * factor * 200,
	}))];
	t.is(findRegression(rollout, after(4, 7)), 'slow');
	t.is(findRegression(rollout, after(4, 2)), undefined);
	t.is(findRegression(rollout, after(2, 7)), undefined);
	t.is(findRegression({...rollout, stage: 'shifting'}, after(2.9, 1000)), undefined);
});

test('streams in progress count by the time at which they started', t => {
	t.is(findRegression(rollout, [counted('v1'), counted('v2', {
		answers: 0, latencySum: 0, started: 8, startSum: 8 * 1600,
	})]), 'slow-route');
});

// A good version under the load of the shift had 4 failures of 28 on one route, and was rolled back.
test('a few failures among many answers of a route are no regression', t => {
	t.is(findRegression({...rollout, stage: 'shifting'}, [counted('v1', {failures: 2}), counted('v2', {answers: 28, failures: 4, latencySum: 24 * 200})]), undefined);
	t.is(findRegression({...rollout, stage: 'shifting'}, [counted('v1', {failures: 2}), counted('v2', {failures: 25})]), 'failures');
});

// Only the fastest answers have begun, so that the version seemed as fast as the old one.
test('a version has regressed whose sends still wait long after the old version would have answered', t => {
	const old = counted('v1', {waits: waits(200, {sends: 100, isAnswered: true})});
	const begun = waits(200, {sends: 8, isAnswered: true});
	const after = (waiting: WaitTable): readonly VersionEvidence[] => [old, counted('v2', {
		answers: 0, latencySum: 0, started: 8, startSum: 8 * 200, waits: addWaits(begun, waiting),
	})];
	t.is(findRegression(rollout, after(waits(900, {sends: 40, isAnswered: false}))), 'waiting');
	t.is(findRegression(rollout, after(waits(150, {sends: 40, isAnswered: false}))), undefined);
	t.is(findRegression(rollout, after(waits(900, {sends: 4, isAnswered: false}))), undefined);
});

test('instances that count no waits are no evidence for long waits', t => {
	t.is(findRegression(rollout, [counted('v1'), counted('v2', {waits: waits(900, {sends: 100, isAnswered: false})})]), undefined);
});
