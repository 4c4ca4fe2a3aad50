import test from 'ava';
import {testServer} from './_test-server.js';
import {ServerDirectory} from './server-directory.js';

const now = 1000;

test('a shutdown sticks, also against later and late announcements', t => {
	const directory = new ServerDirectory({silentMilliseconds: 6000});
	directory.announce(testServer({sequence: 4}), now);
	t.is(directory.announce(testServer({state: 'draining', sequence: 5}), now)?.state, 'draining');
	t.is(directory.announce(testServer({sequence: 6}), now), undefined);
	t.is(directory.announce(testServer({sequence: 2}), now), undefined);
	t.is(directory.records[0]?.state, 'draining');
	t.is(directory.remove(testServer().id, now)?.state, 'gone');
	t.is(directory.announce(testServer({state: 'draining', sequence: 7}), now), undefined);
	t.is(directory.records[0]?.state, 'gone');
});

test('an asker gets what changed after its cursor', t => {
	const directory = new ServerDirectory({silentMilliseconds: 6000});
	directory.announce(testServer(), now);
	const {cursor} = directory;
	t.deepEqual(directory.changedSince(cursor), []);
	directory.announce(testServer({sequence: 2}), now);
	t.is(directory.cursor, cursor);
	directory.announce(testServer({id: 'other' as never}), now);
	t.deepEqual(directory.changedSince(cursor).map(({id}) => id), ['other' as never]);
	t.is(directory.changedSince(0).length, 2);
});

test('a server that stays silent is marked, comes back with its next announcement, and is forgotten after long', t => {
	const directory = new ServerDirectory({silentMilliseconds: 6000, forgetMilliseconds: 20_000});
	directory.announce(testServer(), now);
	t.deepEqual(directory.sweep(now + 5999), []);
	t.is(directory.sweep(now + 6000).length, 1);
	t.false(directory.announce(testServer({sequence: 2}), now + 7000)?.isSilent);
	directory.sweep(now + 27_000);
	t.deepEqual(directory.records, []);
});
