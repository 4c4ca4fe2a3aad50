import test from 'ava';
import {allowsResponseBody} from './allows-response-body.js';

test('an answer to HEAD, and one whose status allows none, has no body', t => {
	t.deepEqual([200, 204, 304, 500].map(status => allowsResponseBody(status, 'GET')), [true, false, false, true]);
	t.false(allowsResponseBody(200, 'HEAD'));
});
