import {
	type InstanceId, type ServerId, type VersionId, type ZoneId,
} from '@valehitch/core';
import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {EntryServers} from './entry-servers.js';
import {LoadShare} from './load-share.js';

const one = 'control-1' as InstanceId;
const two = 'control-2' as InstanceId;
const now = 1000;

function ignore(): void {
	// Nobody is told.
}

function servers(...records: ReadonlyArray<ReturnType<typeof testServer>>): EntryServers {
	const held = new EntryServers({
		zone: 'hall-a' as ZoneId, random: () => 0.5, share: {othersOn: () => 0, noteChange: ignore, forget: ignore}, onReplaced: ignore,
	});
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

test('a server that has ended is not taken back from a control instance that missed its end', t => {
	const held = servers(testServer(), testServer({id: 'server-2' as ServerId}));
	const later = now + 65_000;
	const load = held.begin(testServer().id, 1);
	held.take([testServer({state: 'gone'})], {source: one, now: later});
	load.end();
	held.take([testServer({id: 'server-2' as ServerId, sequence: 2})], {source: one, now: later + 500});
	held.take([testServer({isSilent: true})], {source: two, now: later + 2000});
	t.is(found(held, {excluded: new Set(['server-2' as ServerId]), now: later + 2100}), undefined);
});

test('a record that says less than what is held is told with its source', t => {
	const outdated: unknown[] = [];
	const held = new EntryServers({
		zone: 'hall-a' as ZoneId,
		random: () => 0.5,
		share: {othersOn: () => 0, noteChange: ignore, forget: ignore},
		onReplaced: ignore,
		onOutdated(told, {held: {state}, source}) {
			outdated.push([told.state, state, source]);
		},
	});
	held.take([testServer({state: 'draining'})], {source: one, now});
	held.take([testServer({state: 'draining'})], {source: two, now});
	held.take([testServer()], {source: two, now});
	t.deepEqual(outdated, [['ready', 'draining', two]]);
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

test('a server that only a control instance behind a cut calls silent is not passed over', t => {
	const other = testServer({id: 'server-2' as ServerId});
	const held = servers(testServer(), other);
	held.take([testServer(), other], {source: two, now});
	held.take([testServer({isSilent: true})], {source: two, now});
	held.record(other.id, 'unreachable', now);
	t.is(found(held), testServer().id);
});

test('what a control instance said counts neither while it does not answer nor after it started again', t => {
	const other = testServer({id: 'server-2' as ServerId});
	const held = servers(testServer(), other);
	held.take([testServer(), other], {source: two, now});
	held.take([testServer({isSilent: true})], {source: one, now});
	held.record(other.id, 'unreachable', now);
	held.loseSource(two);
	t.is(found(held, {now: now + 600}), other.id);
	held.take([], {source: two, now});
	held.record(other.id, 'unreachable', now);
	t.is(found(held), testServer().id);
	held.take([other], {source: two, now, isWhole: true});
	t.is(found(held, {now: now + 1100}), other.id);
});

test('a server that nobody calls alive any more is forgotten, and one that somebody does is not', t => {
	const other = testServer({id: 'server-2' as ServerId});
	const held = servers(testServer(), other);
	held.take([testServer({isSilent: true})], {source: one, now});
	t.is(found(held, {excluded: new Set([other.id])}), testServer().id);
	held.take([], {source: one, now: now + 200_000});
	t.is(found(held, {excluded: new Set([other.id]), now: now + 200_000}), undefined);
	t.is(found(held, {now: now + 200_000}), other.id);
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

/** Servers with the loads of peers, and the processes that were replaced. */
function withPeers(...records: ReadonlyArray<ReturnType<typeof testServer>>) {
	const replaced: string[] = [];
	const share = new LoadShare({own: () => [], peers: () => [], send: ignore});
	const held = new EntryServers({
		zone: 'hall-a' as ZoneId, random: () => 0.5, share, onReplaced({id, startedAt}) {
			replaced.push(`${id} ${startedAt}`);
		},
	});
	held.take(records, {source: one, now});
	return {held, share, replaced};
}

test('a server that starts again under its id is taken up at once, with nothing of its former process', t => {
	const {held, share, replaced} = withPeers(testServer({startedAt: 1000, sequence: 80}));
	const load = held.begin(testServer().id, 50);
	share.receive('entry-2' as InstanceId, {type: 'load', loads: [[testServer().id, 30]]}, now);
	held.record(testServer().id, 'gone', now);
	held.record(testServer().id, 'unreachable', now);
	const [changed] = held.take([testServer({startedAt: 2000})], {source: two, now});
	t.like(changed, {state: 'ready', startedAt: 2000});
	t.is(found(held), testServer().id);
	t.true(load.processEnd.aborted);
	t.false(held.isCurrent(testServer({startedAt: 1000, sequence: 80})), 'the end of its sends is no fault of the next process');
	t.true(held.isCurrent(testServer({startedAt: 2000, sequence: 7})));
	t.deepEqual(replaced, ['server-1 1000']);
	t.is(share.othersOn(testServer().id), 0);
	held.begin(testServer().id, 3);
	load.end();
	t.deepEqual(held.loads, [[testServer().id, 3]]);
});

test('news of a former process that comes later changes nothing', t => {
	const {held, replaced} = withPeers(testServer({startedAt: 2000}));
	const former = testServer({
		startedAt: 1000, sequence: 99, state: 'gone', isSilent: true,
	});
	t.deepEqual(held.take([former], {source: two, now}), []);
	t.is(found(held), testServer().id);
	t.deepEqual(replaced, []);
});

test('a server that starts at the address of another ends what is sent there', t => {
	const {held, replaced} = withPeers(testServer({startedAt: 1000}));
	const load = held.begin(testServer().id, 1);
	held.take([testServer({id: 'server-2' as ServerId, startedAt: 2000})], {source: one, now});
	t.true(load.processEnd.aborted);
	t.deepEqual(replaced, ['server-1 1000']);
	t.is(found(held), 'server-2' as ServerId);
	t.is(found(held, {excluded: new Set(['server-2' as ServerId])}), undefined);
});

test('failures and lost connections of a former process do not count against the next one', t => {
	const other = testServer({id: 'server-2' as ServerId});
	const {held} = withPeers(testServer({startedAt: 1000}), other, ...['server-3', 'server-4'].map(id => testServer({id: id as ServerId})));
	for (let failures = 0; failures < 8; failures++) {
		held.record(testServer().id, 'failed', now);
	}

	const excluded = new Set(['server-3', 'server-4'] as ServerId[]);
	t.is(found(held, {excluded}), other.id);
	held.take([testServer({startedAt: 2000})], {source: one, now});
	held.record(other.id, 'unreachable', now);
	t.is(found(held, {excluded}), testServer().id);
});
