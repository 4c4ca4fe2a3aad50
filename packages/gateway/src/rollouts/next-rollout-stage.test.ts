import {
	type InstanceId, type ServiceId, type VersionId,
} from '@valehitch/core';
import test from 'ava';
import {type RouteId} from '../configuration/routing-configuration.js';
import {nextRolloutStage} from './next-rollout-stage.js';
import {type Rollout} from './rollout.js';
import {type VersionEvidence} from './version-evidence.js';

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

test('a version without faults advances after part of the duration, and is completed before its end', t => {
	const evidence = [counted('v1'), counted('v2', {answers: 20, latencySum: 5000})];
	t.is(nextRolloutStage(rollout, {evidence, age: 5000}), undefined);
	t.is(nextRolloutStage(rollout, {evidence, age: 11_700}), 'shifting');
	t.is(nextRolloutStage({...rollout, stage: 'shifting'}, {evidence, age: 12_000}), undefined);
	t.is(nextRolloutStage({...rollout, stage: 'shifting'}, {evidence, age: 17_700}), 'completed');
});

test('a version that fails more often than the old one is rolled back well before its 50th failure', t => {
	t.is(nextRolloutStage(rollout, {evidence: [counted('v1', {failures: 4}), counted('v2', {answers: 12, failures: 4})], age: 100}), 'rolled-back');
	t.is(nextRolloutStage(rollout, {evidence: [counted('v1', {failures: 14}), counted('v2', {answers: 40, failures: 6})], age: 100}), undefined);
});

test('failures on a single route cause a rollback, also during the shifting stage', t => {
	const evidence = [counted('v1'), counted('v1', {route: 'labels' as RouteId}), counted('v2'), counted('v2', {route: 'labels' as RouteId, answers: 9, failures: 5})];
	t.is(nextRolloutStage({...rollout, stage: 'shifting'}, {evidence, age: 13_000}), 'rolled-back');
});

test('a version that is several times slower is rolled back', t => {
	t.is(nextRolloutStage(rollout, {evidence: [counted('v1'), counted('v2', {answers: 8, latencySum: 8 * 1600})], age: 100}), 'rolled-back');
	t.is(nextRolloutStage(rollout, {evidence: [counted('v1'), counted('v2', {answers: 8, latencySum: 8 * 390})], age: 100}), undefined);
});
