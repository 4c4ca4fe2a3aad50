import {type ServiceId, type VersionId} from '@valehitch/core';
import test from 'ava';
import {KnownRollouts} from './known-rollouts.js';
import {type RolloutStage, type RolloutWithAge} from './rollout.js';

const service = 'models' as ServiceId;

function rolloutAt(stage: RolloutStage, age = 0): RolloutWithAge {
	return {
		service, target: 'v2' as VersionId, duration: 10_000, stage, orderedAt: 0, age,
	};
}

function start() {
	const clock = {now: 1000, monotonic: () => clock.now};
	const lines: string[] = [];
	const known = new KnownRollouts({
		clock, log(kind) {
			lines.push(kind);
		},
	});
	return {known, clock, lines};
}

test('a rollout ages on the local clock, and is logged when it changes', t => {
	const {known, clock, lines} = start();
	known.update({rollouts: [rolloutAt('canary', 300)], rolloutDigest: 'a'}, {confirmedAt: 900, now: 1000});
	known.update({rollouts: [rolloutAt('canary', 300)], rolloutDigest: 'a'}, {confirmedAt: 950, now: 1000});
	clock.now = 1500;
	t.is(known.forService(service)?.age, 800);
	t.is(known.digest, 'a');
	t.deepEqual([...known.runningServices], [service]);
	t.deepEqual(lines, ['rollout-advanced']);
});

test('replies of an instance that lags behind or has no confirmed state change nothing', t => {
	const {known} = start();
	known.update({rollouts: [rolloutAt('completed')], rolloutDigest: 'b'}, {confirmedAt: 900, now: 1000});
	known.update({rollouts: [rolloutAt('canary')], rolloutDigest: 'a'}, {confirmedAt: 800, now: 1000});
	known.update({rollouts: [rolloutAt('canary')], rolloutDigest: 'a'}, {confirmedAt: undefined, now: 1000});
	t.is(known.forService(service)?.stage, 'completed');
	t.is(known.runningServices.size, 0);
	t.is(known.forService('labels' as ServiceId), undefined);
});
