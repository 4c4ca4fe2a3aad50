import test from 'ava';
import {decodeRateLimit} from './decode-rate-limit.js';

test('a rate limit is a decimal number, and anything else is reported as it is', t => {
	t.deepEqual(decodeRateLimit(undefined), {type: 'unlimited'});
	t.deepEqual(decodeRateLimit('1.7'), {type: 'limited', requestsPerSecond: 1.7});
	t.deepEqual(decodeRateLimit('0'), {type: 'limited', requestsPerSecond: 0});
	for (const value of ['', '-1', '1e9', 'many', '1.7, 2.7', 'Infinity', '9'.repeat(400)]) {
		t.deepEqual(decodeRateLimit(value), {type: 'invalid', value});
	}
});
