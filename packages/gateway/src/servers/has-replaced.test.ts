import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {testServer} from './_test-server.js';
import {hasReplaced} from './has-replaced.js';

const later = testServer({id: 'server-2' as ServerId, startedAt: 2000});

test('a later process has replaced the earlier one at the same address, and no other', t => {
	t.true(hasReplaced(later, testServer({startedAt: 1000})));
	t.false(hasReplaced(testServer({startedAt: 1000}), later));
	t.false(hasReplaced(later, testServer({startedAt: 1000, port: 10})));
	t.false(hasReplaced(later, testServer({startedAt: 1000, host: '127.0.0.2'})));
});

test('a server without a start time replaces no other and is not replaced', t => {
	t.false(hasReplaced(later, testServer()));
	t.false(hasReplaced(testServer(), testServer({id: 'server-2' as ServerId})));
});
