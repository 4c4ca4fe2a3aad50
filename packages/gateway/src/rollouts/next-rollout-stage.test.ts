import {type ServiceId, type VersionId} from '@valehitch/core';
import test from 'ava';
import {nextRolloutStage} from './next-rollout-stage.js';
import {type Rollout} from './rollout.js';

const rollout: Rollout = {
	service: 'summaries' as ServiceId, target: 'v2' as VersionId, duration: 20_000, stage: 'canary', orderedAt: 0,
};

test('a version without faults advances after part of the duration, and is completed before its end', t => {
	const options = {regression: undefined, started: 24};
	t.is(nextRolloutStage(rollout, {...options, age: 5000}), undefined);
	t.is(nextRolloutStage(rollout, {...options, age: 12_300}), undefined);
	t.is(nextRolloutStage(rollout, {...options, age: 12_500}), 'shifting');
	t.is(nextRolloutStage({...rollout, stage: 'shifting'}, {...options, age: 12_800}), undefined);
	t.is(nextRolloutStage({...rollout, stage: 'shifting'}, {...options, age: 17_700}), 'completed');
});

test('a version with little evidence stays a canary for longer', t => {
	t.is(nextRolloutStage(rollout, {regression: undefined, started: 23, age: 13_900}), undefined);
	t.is(nextRolloutStage(rollout, {regression: undefined, started: 0, age: 14_100}), 'shifting');
});

test('a version that has regressed is rolled back at any time', t => {
	t.is(nextRolloutStage(rollout, {regression: 'failures', started: 24, age: 100}), 'rolled-back');
	t.is(nextRolloutStage({...rollout, stage: 'shifting'}, {regression: 'slow', started: 24, age: 17_900}), 'rolled-back');
});
