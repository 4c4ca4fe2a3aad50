import test from 'ava';
import {ConfidenceDistribution} from './confidence-distribution.js';

function distributionOf(confidences: ReadonlyArray<number | undefined>): ConfidenceDistribution {
	const distribution = new ConfidenceDistribution();
	for (const confidence of confidences) {
		distribution.record(confidence);
	}

	return distribution;
}

test('the share is 0 without answers, low with few and close to the observed one with many', t => {
	const alternating = (count: number) => Array.from({length: count}, (_, index) => index % 2 === 0 ? 20 : 80);
	t.is(distributionOf([]).shareBelow(50), 0);
	t.true(distributionOf(alternating(2)).shareBelow(50) < 0.25);
	const share = distributionOf(alternating(400)).shareBelow(50);
	t.true(share > 0.45 && share < 0.5);
});

test('a lower threshold gives a smaller share, and an answer without confidence is above all thresholds', t => {
	const distribution = distributionOf([5, 15, 25, 35, 45, 55, undefined]);
	const shares = [0, 10, 25, 50, 100].map(threshold => distribution.shareBelow(threshold));
	t.deepEqual(shares, shares.toSorted((one, other) => one - other));
	t.is(shares[0], 0);
	t.is(distributionOf([undefined, undefined]).shareBelow(90), 0);
});

test('the distribution follows the latest answers, also those out of range', t => {
	const distribution = distributionOf([...Array.from({length: 2000}, () => 1000), ...Array.from({length: 3000}, () => -10)]);
	t.true(distribution.shareBelow(50) > 0.9);
});
