import test from 'ava';
import {decodeBrittleness} from './decode-brittleness.js';

test('a number of rejections is decoded, and anything else is invalid', t => {
	t.deepEqual(decodeBrittleness(undefined), {type: 'none'});
	t.deepEqual(decodeBrittleness('5'), {type: 'brittle', rejectionsPerSecond: 5});
	t.deepEqual(decodeBrittleness('0'), {type: 'brittle', rejectionsPerSecond: 0});
	for (const value of ['', '-1', 'few', '5, 6', '1e9']) {
		t.deepEqual(decodeBrittleness(value), {type: 'invalid', value});
	}
});
