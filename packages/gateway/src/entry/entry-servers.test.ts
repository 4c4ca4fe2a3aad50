import {
	type InstanceId, type ServerId, type VersionId, type ZoneId,
} from '@valehitch/core';
import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {EntryServers} from './entry-servers.js';

const one = 'control-1' as InstanceId;
const two = 'control-2' as InstanceId;
const now = 1000;

function ignore(): void {
	// Nobody is told.
}

function servers(...records: ReadonlyArray<ReturnType<typeof testServer>>): EntryServers {
	const held = new EntryServers({zone: 'hall-a' as ZoneId, random: () => 0.5, share: {othersOn: () => 0, noteChange: ignore}});
	held.take(records, {source: one, now});
	return held;
}

function found(held: EntryServers, changes: Partial<Parameters<EntryServers['find']>[0]> = {}): ServerId | undefined {
	return held.find({
		service: testServer().service, isWanted: () => true, excluded: new Set(), subject: undefined, now, ...changes,
	})?.id;
}

test('a server that shuts down gets no work, whichever control instance says so and in whatever order', t => {
	const held = servers(testServer());
	t.is(found(held), testServer().id);
	held.take([testServer({state: 'draining', sequence: 5})], {source: two, now});
	held.take([testServer({sequence: 4})], {source: one, now});
	t.is(found(held), undefined);
});

test('versions, and servers that were tried, are left out as wished', t => {
	const other = testServer({id: 'server-2' as ServerId, version: 'v2' as VersionId});
	const held = servers(testServer(), other);
	t.is(found(held, {isWanted: version => version === other.version}), other.id);
	t.is(found(held, {excluded: new Set([other.id])}), testServer().id);
	t.is(found(held, {excluded: new Set([other.id, testServer().id])}), undefined);
});

test('a silent or unreachable server is passed over while there is another, and used where there is none', t => {
	const other = testServer({id: 'server-2' as ServerId});
	const held = servers(testServer({isSilent: true}), other);
	t.is(found(held), other.id);
	held.record(other.id, 'unreachable', now);
	t.not(found(held), undefined);
	held.take([testServer({sequence: 2})], {source: two, now});
	t.is(found(held), testServer().id);
	t.is(found(held, {now: now + 1000, excluded: new Set([testServer().id])}), other.id);
});

test('an address that another server took over is never used under the old name again', t => {
	const held = servers(testServer());
	held.record(testServer().id, 'gone', now);
	held.take([testServer({sequence: 9})], {source: one, now});
	t.is(found(held), undefined);
});

test('a server that reads a long prompt is passed over, and counts for little once its answer has begun', t => {
	const other = testServer({id: 'server-2' as ServerId});
	const held = servers(testServer(), other);
	const load = held.begin(testServer().id, 50);
	held.begin(other.id, 10);
	t.deepEqual(held.loads, [[testServer().id, 50], [other.id, 10]]);
	load.answerBegins();
	t.deepEqual(held.loads, [[testServer().id, 1], [other.id, 10]]);
	load.end();
	t.deepEqual(held.loads, [[other.id, 10]]);
});

test('once two servers of another zone are unreachable, no third one of it is tried while others take work', t => {
	const far = ['server-2', 'server-3', 'server-4'].map(id => testServer({id: id as ServerId, zone: 'hall-b' as ZoneId}));
	const near = ['server-1', 'server-5'].map(id => testServer({id: id as ServerId}));
	const held = servers(...far, ...near);
	const tried = new Set(near.map(({id}) => id));
	t.true(far.some(({id}) => id === found(held, {excluded: tried})));
	held.record(far[0]!.id, 'unreachable', now);
	held.record(far[1]!.id, 'unreachable', now);
	t.not(found(held, {excluded: new Set([near[0]!.id])}), far[2]!.id);
	t.is(found(held, {excluded: new Set([near[0]!.id])}), near[1]!.id);
	held.hear(far[2]!.id, now);
	t.is(found(held, {excluded: tried}), far[2]!.id);
});
