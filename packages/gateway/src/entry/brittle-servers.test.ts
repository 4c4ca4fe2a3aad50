import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {BrittleServers} from './brittle-servers.js';

const server = testServer({startedAt: 1});

test('a server stays brittle until an answer to a later request does not say so', t => {
	const brittle = new BrittleServers();
	t.true(brittle.hear(server, {rejectionsPerSecond: 5, now: 100}));
	t.false(brittle.hear(server, {rejectionsPerSecond: 5, now: 200}));
	t.false(brittle.hearNone(server, 150));
	t.is(brittle.rejectionsOf(server), 5);
	t.true(brittle.hearNone(server, 250));
	t.is(brittle.rejectionsOf(server), undefined);
	t.is(brittle.count, 0);
});

test('a new process of a server is not brittle for its former one', t => {
	const brittle = new BrittleServers();
	brittle.hear(server, {rejectionsPerSecond: 5, now: 100});
	t.is(brittle.rejectionsOf(testServer({startedAt: 2})), undefined);
	brittle.removeServer(server.id);
	t.is(brittle.rejectionsOf(server), undefined);
});
