import {type Clock, type ServiceId, type VersionId} from '@valehitch/core';
import test from 'ava';
import {type Rollout} from '../rollouts/rollout.js';
import {RolloutClock} from './rollout-clock.js';

const orderTime = 1_000_000;
const rollout: Rollout = {
	service: 'summaries' as ServiceId, target: 'v2' as VersionId, duration: 24_000, stage: 'canary', orderedAt: orderTime,
};

/** A clock at the given number of milliseconds after the order; its monotonic time starts with the process. */
function clockAt(sinceOrder: number): {-readonly [Name in keyof Clock]: Clock[Name]} {
	return {now: () => new Date(orderTime + sinceOrder), monotonic: () => 500};
}

test('the age of a rollout that was ordered while the process ran follows the monotonic clock only', t => {
	const clock = clockAt(20);
	const rolloutClock = new RolloutClock(clock);
	t.is(rolloutClock.withAges([rollout])[0]?.age, 0);
	clock.now = () => new Date(orderTime + 90_000);
	clock.monotonic = () => 7500;
	t.is(rolloutClock.withAges([rollout])[0]?.age, 7000);
});

test('a rollout that was ordered before all instances restarted resumes at its age, limited to a share of its duration', t => {
	t.is(new RolloutClock(clockAt(18_000)).withAges([rollout])[0]?.age, 18_000);
	t.is(new RolloutClock(clockAt(90_000)).withAges([rollout])[0]?.age, 19_200);
	t.is(new RolloutClock(clockAt(-2600)).withAges([rollout])[0]?.age, 0);
	t.is(new RolloutClock(clockAt(2600)).withAges([rollout])[0]?.age, 0);
});

// The order arrives at second 2 and is committed at second 7, once the group has a leader again.
test('the time that an order waited for its commit counts as a part of its duration', t => {
	const waited = 5000;
	t.is(new RolloutClock(clockAt(waited + 20)).withAges([{...rollout, waited}])[0]?.age, waited);
	t.is(new RolloutClock(clockAt(18_000)).withAges([{...rollout, waited}])[0]?.age, 18_000);
	t.is(new RolloutClock(clockAt(90_000)).withAges([{...rollout, waited: 90_000}])[0]?.age, 19_200);
});
