import test from 'ava';
import {decodePause} from './decode-pause.js';

test('a pause is a decimal number of seconds, and anything else is reported as it is', t => {
	t.deepEqual(decodePause(undefined), {type: 'none'});
	t.deepEqual(decodePause('3'), {type: 'requested', milliseconds: 3000});
	t.deepEqual(decodePause('0.25'), {type: 'requested', milliseconds: 250});
	for (const value of ['', '-1', '1e9', 'Thu, 03 Dec 2026 18:00:00 GMT', '1, 2', '9'.repeat(400)]) {
		t.deepEqual(decodePause(value), {type: 'invalid', value});
	}
});
