import test from 'ava';
import {OrderWaits} from './order-waits.js';

test('an order that is sent again counts from the first time', t => {
	const waits = new OrderWaits();
	t.is(waits.record('summaries v2', 1000), 0);
	t.is(waits.record('summaries v2', 5000), 4000);
	t.is(waits.record('summaries v3', 5000), 0);
});

// The rollout would begin near its end, and give the version most of the traffic at once.
test('the same order long after does not count from the first time', t => {
	const waits = new OrderWaits();
	waits.record('summaries v2', 1000);
	t.is(waits.record('summaries v2', 60_000), 0);
	t.is(waits.record('summaries v2', 62_000), 2000);
});
