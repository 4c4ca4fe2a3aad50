import test from 'ava';
import {ColdPeriod} from './cold-period.js';

test('the remaining time runs on between announcements, and a later announcement replaces it', t => {
	const cold = new ColdPeriod({sequence: 1, coldRemaining: 3000}, 0);
	t.is(cold.remaining(1200), 1800);
	cold.apply({sequence: 2}, 1200);
	t.is(cold.remaining(1200), 0);
	cold.apply({sequence: 3, coldRemaining: 2000}, 1300);
	t.is(cold.remaining(1300), 2000, 'a server may become cold again at any moment');
});

test('an announcement that arrives late or twice does not end a cold period', t => {
	const cold = new ColdPeriod({sequence: 4, coldRemaining: 3000}, 0);
	cold.apply({sequence: 3}, 100);
	cold.apply({sequence: 4}, 100);
	t.is(cold.remaining(100), 2900);
});

test('a required period ends only by an announcement that was sent after it began', t => {
	const cold = new ColdPeriod({sequence: 4}, 0);
	cold.require({until: 3000, confirmedFrom: 1200});
	cold.apply({sequence: 5}, 600);
	t.is(cold.remaining(600), 2400, 'it may have been sent before the server became cold');
	cold.apply({sequence: 6}, 1800);
	t.is(cold.remaining(1800), 0);
});
