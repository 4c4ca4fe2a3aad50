import test from 'ava';
import {frameRequest} from './frame-request.js';

const body = new TextEncoder().encode('{}');
const empty = new Uint8Array();

test('a body has a length whatever the method of its request', t => {
	for (const method of ['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE', 'POST', 'PUT', 'PATCH', 'PROPFIND']) {
		t.deepEqual(frameRequest([['Host', 'desk.example']], {method, body}), [['Host', 'desk.example'], ['Content-Length', '2']], `the headers of ${method}`);
	}
});

test('an empty body has a length unless its method does without a body', t => {
	t.deepEqual(frameRequest([], {method: 'POST', body: empty}), [['Content-Length', '0']]);
	t.deepEqual(frameRequest([], {method: 'GET', body: empty}), []);
});

test('the framing of another message is not kept', t => {
	t.deepEqual(frameRequest([['transfer-encoding', 'chunked'], ['CONTENT-LENGTH', '7']], {method: 'GET', body}), [['Content-Length', '2']]);
	t.deepEqual(frameRequest([['Content-Length', '7']], {method: 'GET', body: empty}), []);
});
