import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {testServer} from './_test-server.js';
import {ServerDirectory} from './server-directory.js';

const now = 1000;

test('a shutdown is not reverted by later or delayed announcements', t => {
	const directory = new ServerDirectory({silentMilliseconds: 6000});
	directory.announce(testServer({sequence: 4}), now);
	t.is(directory.announce(testServer({state: 'draining', sequence: 5}), now)[0]?.state, 'draining');
	t.deepEqual(directory.announce(testServer({sequence: 6}), now), []);
	t.deepEqual(directory.announce(testServer({sequence: 2}), now), []);
	t.is(directory.records[0]?.state, 'draining');
	t.is(directory.markEnded(testServer().id, now)?.state, 'gone');
	t.deepEqual(directory.announce(testServer({state: 'draining', sequence: 7}), now), []);
	t.is(directory.records[0]?.state, 'gone');
});

test('changes are listed after a cursor', t => {
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

test('a silent server is marked, restored by its next announcement, and removed after the retention time', t => {
	const directory = new ServerDirectory({silentMilliseconds: 6000, retentionMilliseconds: 20_000});
	directory.announce(testServer(), now);
	t.deepEqual(directory.sweep(now + 5999), []);
	t.is(directory.sweep(now + 6000).length, 1);
	t.false(directory.announce(testServer({sequence: 2}), now + 7000)[0]?.isSilent);
	directory.sweep(now + 27_000);
	t.deepEqual(directory.records, []);
});

test('a server that restarts under its id is a new process, whatever the state and sequence number of the previous one', t => {
	const directory = new ServerDirectory({silentMilliseconds: 6000});
	directory.announce(testServer({startedAt: 1000, sequence: 80}), now);
	directory.announce(testServer({startedAt: 1000, sequence: 81, state: 'draining'}), now);
	directory.markEnded(testServer().id, now);
	t.like(directory.announce(testServer({startedAt: 2000, sequence: 1}), now + 5000)[0], {state: 'ready', isSilent: false});
	// Its own heartbeats keep it from becoming silent although the previous process had a higher sequence number.
	directory.announce(testServer({startedAt: 2000, sequence: 2}), now + 9000);
	t.deepEqual(directory.sweep(now + 12_000), []);
});

test('a delayed heartbeat of a previous process changes nothing, and does not reset the silence timeout', t => {
	const directory = new ServerDirectory({silentMilliseconds: 6000});
	directory.announce(testServer({startedAt: 2000, sequence: 1}), now);
	t.deepEqual(directory.announce(testServer({startedAt: 1000, sequence: 99, state: 'draining'}), now + 5000), []);
	t.like(directory.records[0], {state: 'ready', startedAt: 2000, sequence: 1});
	t.is(directory.sweep(now + 6000).length, 1);
});

test('a server that starts at an address ends the previous servers there, in either order of arrival', t => {
	const previous = testServer({startedAt: 1000, sequence: 40});
	const next = testServer({id: 'server-2' as ServerId, startedAt: 2000});
	const [first, second] = [new ServerDirectory({silentMilliseconds: 6000}), new ServerDirectory({silentMilliseconds: 6000})];
	first.announce(previous, now);
	t.deepEqual(first.announce(next, now).map(({id, state}) => [id, state]), [[next.id, 'ready'], [previous.id, 'gone']]);
	second.announce(next, now);
	t.like(second.announce(previous, now)[0], {id: previous.id, state: 'gone'});
	t.deepEqual(second.announce({...previous, sequence: 41}, now), []);
});

test('the stop of a server is kept longer than an instance that missed it keeps the server', t => {
	const directory = new ServerDirectory({silentMilliseconds: 6000, retentionMilliseconds: 20_000});
	directory.announce(testServer(), now);
	directory.markEnded(testServer().id, now + 1000);
	directory.markEnded('server-2' as ServerId, now + 1000);
	directory.sweep(now + 25_000);
	directory.announce(testServer({sequence: 2}), now + 25_000);
	directory.announce(testServer({id: 'server-2' as ServerId}), now + 25_000);
	t.deepEqual(directory.records.map(({state}) => state), ['gone', 'gone']);
	directory.sweep(now + 66_000);
	t.deepEqual(directory.records, []);
});

test('an unknown server that another instance reports as silent is added as silent', t => {
	const directory = new ServerDirectory({silentMilliseconds: 6000});
	t.like(directory.announce(testServer({isSilent: true}), now)[0], {isSilent: true});
	t.like(directory.announce(testServer({sequence: 2}), now + 100)[0], {isSilent: false});
});

test('a stopped server does not become silent', t => {
	const directory = new ServerDirectory({silentMilliseconds: 6000});
	directory.announce(testServer(), now);
	directory.markEnded(testServer().id, now);
	t.deepEqual(directory.sweep(now + 7000), []);
});

test('a restored server that another instance does not list is silent until it announces itself', t => {
	const directory = new ServerDirectory({silentMilliseconds: 6000});
	const listed = testServer({id: 'server-2' as ServerId});
	const announced = testServer({id: 'server-3' as ServerId});
	directory.restore([testServer(), listed, announced], {now, graceMilliseconds: 2400});
	directory.announce({...announced, sequence: 2}, now);
	t.deepEqual(directory.silenceUnconfirmed([listed]).map(({id}) => id), [testServer().id]);
	t.deepEqual(directory.records.map(({isSilent}) => isSilent), [true, false, false]);
	t.like(directory.announce(testServer({sequence: 2}), now + 100)[0], {isSilent: false});
	t.deepEqual(directory.silenceUnconfirmed([listed]), []);
});
