import test from 'ava';
import {planRollout, type RolloutPlan} from './plan-rollout.js';

const steps = 10_000;

/** Returns the share of all requests that the target receives if nothing speaks against it. */
function receivedShare({start, share, shiftStart, shiftEnd}: RolloutPlan): number {
	let sum = 0;
	for (let step = 0; step < steps; step++) {
		const progress = (step + 0.5) / steps;
		const grown = (progress - shiftStart) / (shiftEnd - shiftStart);
		sum += progress < start ? 0 : Math.min(1, Math.max(share, grown));
	}

	return sum / steps;
}

// A version that failed under load only received twice its allowance, and was completed.
test('a version that nothing speaks against receives no more than its allowance until its duration ends', t => {
	for (const canaryShare of [0.1, 0.15, 0.2, 0.3]) {
		for (const duration of [12_000, 15_000, 24_000, 60_000]) {
			for (const hasSession of [true, false]) {
				const received = receivedShare(planRollout({duration, canaryShare, hasSession}));
				t.true(received <= canaryShare, `${received} of ${canaryShare} in ${duration} ms`);
			}
		}
	}
});

test('the target receives requests before its traffic grows, and a rollout is completed before its duration ends', t => {
	for (const duration of [1000, 12_000, 60_000]) {
		for (const canaryShare of [0.01, 0.15, 1]) {
			for (const hasSession of [true, false]) {
				const {start, share, shiftStart, shiftEnd, completion} = planRollout({duration, canaryShare, hasSession});
				t.true(share > 0 && share <= 1);
				t.true(start < shiftStart && shiftStart < shiftEnd && shiftEnd < completion && completion < 1);
			}
		}
	}

	t.true(planRollout({duration: 12_000, canaryShare: 0.15}).completion * 12_000 <= 11_400);
});
