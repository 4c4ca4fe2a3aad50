import test from 'ava';
import {responseFraming} from './response-framing.js';

test('a response is framed by its status and method, its last transfer coding or its length, in this order', t => {
	const framingOf = (headers: Record<string, string>, {statusCode = 200, method = 'GET'} = {}) => responseFraming({statusCode, headers}, method);
	t.is(framingOf({}), 'close');
	t.is(framingOf({'content-length': '0'}), 'length');
	t.is(framingOf({'transfer-encoding': 'chunked'}), 'chunks');
	t.is(framingOf({'transfer-encoding': 'gzip, Chunked', 'content-length': '7'}), 'chunks');
	t.is(framingOf({'transfer-encoding': 'gzip'}), 'close');
	t.is(framingOf({}, {statusCode: 204}), 'none');
	t.is(framingOf({'content-length': '7'}, {statusCode: 304}), 'none');
	t.is(framingOf({'content-length': '7'}, {method: 'HEAD'}), 'none');
});
