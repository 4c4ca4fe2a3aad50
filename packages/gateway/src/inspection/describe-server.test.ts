import {type InstanceId, type ServerId, type ZoneId} from '@valehitch/core';
import {DecisionNotes} from '@valehitch/routing';
import test from 'ava';
import {EntryServers} from '../entry/entry-servers.js';
import {testServer} from '../servers/_test-server.js';
import {type ServerBelief} from './describe-server.js';

const control = 'control-1' as InstanceId;
const now = 1000;
const noted = {id: 'a1', model: undefined, hasFurtherCriteria: false};

function ignore(): void {
	// Intentionally empty.
}

/** Returns numbers between 0 and 1 in a fixed order. */
function sequence(): () => number {
	let last = 0;
	return () => {
		last = (last + 0.381) % 1;
		return last;
	};
}

function createServers(notes?: DecisionNotes): EntryServers {
	const servers = new EntryServers({
		zone: 'hall-a' as ZoneId, random: sequence(), notes, loads: {peerLoadAt: () => 3, recordChange: ignore, discardServer: ignore}, onReplaced: ignore,
	});
	const records = [1, 2, 3, 4].map(index => testServer({id: `server-${index}` as ServerId, port: index}));
	servers.applyRecords(records, {source: control, now: 0});
	return servers;
}

function beliefOf(servers: EntryServers, {id, ...changes}: {readonly id: string} & Partial<{now: number}>): ServerBelief | undefined {
	return servers.beliefs(changes.now ?? now).find(({server}) => server === id);
}

test('a server that could be chosen is described with its loads and the ages of what is known', t => {
	const servers = createServers();
	servers.beginSend('server-1' as ServerId, {load: 2.5, now});
	servers.recordData('server-1' as ServerId, 400);
	t.like(beliefOf(servers, {id: 'server-1'}), {
		state: 'ready',
		zone: 'hall-a',
		version: 'v1',
		ownRequests: 1, ownLoad: 2.5, othersLoad: 3, reportedAgo: 1000, heardAgo: 600, unreachableFor: 0, conditions: [], notChosen: undefined, work: undefined,
	});
	t.is(beliefOf(servers, {id: 'server-2'})?.heardAgo, undefined);
});

test('the work of all entry instances is described with its age where it is known', t => {
	const work = {reading: 120, streams: 4, slowness: 2};
	const [first, second] = createServers().beliefs(now, {age: 300, workAt: server => server === 'server-1' ? work : undefined, heldByOthers: []});
	t.deepEqual([first?.work, first?.workAge, second?.work, second?.workAge], [work, 300, undefined, undefined]);
});

test('a server that would not be chosen is described with the reason, and is not chosen', t => {
	const servers = createServers();
	const silent = testServer({
		id: 'server-1' as ServerId, port: 1, isSilent: true, sequence: 2,
	});
	servers.applyRecords([silent], {source: control, now});
	servers.recordResult('server-2' as ServerId, 'unreachable', now);
	servers.limits.pauses.begin('server-3' as ServerId, {milliseconds: 500, now});
	servers.markDraining('server-4' as ServerId);
	const described = servers.beliefs(now).map(({conditions, notChosen}) => [conditions.join(' '), notChosen]);
	t.deepEqual(described, [
		['silent', 'is called silent by all control instances'],
		['unreachable', 'could not be connected to'],
		['paused', 'has asked for a pause'],
		['', 'is shutting down'],
	]);
	t.is(beliefOf(servers, {id: 'server-2'})?.unreachableFor, 500);
	t.is(beliefOf(servers, {id: 'server-2', now: now + 600})?.notChosen, undefined);
});

test('a choice without a server is noted always, and one of a server for the sampled share only', t => {
	const {service} = testServer();
	const notes = new DecisionNotes();
	const servers = createServers(notes);
	const options = {
		service, isAcceptable: () => true, excluded: new Set<ServerId>(), promptKey: undefined, now, noted,
	};
	servers.choose(options);
	t.is(notes.size, 0);
	const excluded = new Set(['server-1', 'server-2', 'server-3', 'server-4'] as ServerId[]);
	servers.choose({...options, excluded, noted: {...noted, hasFurtherCriteria: true}});
	t.is(notes.size, 0);
	servers.choose({...options, excluded});
	t.like(notes.get('a1')?.[0], {kind: 'no-server', at: now});
	t.regex(String(notes.get('a1')?.[0]?.facts?.reason), /server-4 was tried or is in use/v);
	const sampled = new DecisionNotes({sampledShare: 1});
	const chosen = createServers(sampled).choose(options);
	t.like(sampled.get('a1')?.[0], {kind: 'chosen', server: chosen?.id});
	t.is(sampled.get('a1')?.[0]?.considered?.length, 4);
});

test('notes change no choice for the same random numbers', t => {
	const {service} = testServer();
	const options = {
		service, isAcceptable: () => true, excluded: new Set<ServerId>(), promptKey: undefined, now,
	};
	const plain = createServers();
	const withNotes = createServers(new DecisionNotes({sampledShare: 0.5}));
	for (let request = 0; request < 200; request++) {
		const expected = plain.choose(options);
		const chosen = withNotes.choose({...options, noted: {...noted, id: String(request)}});
		t.is(chosen?.id, expected?.id);
		for (const [servers, record] of [[plain, expected], [withNotes, chosen]] as const) {
			servers.beginSend(record?.id ?? 'server-1' as ServerId, {load: 1, now});
		}
	}
});
