import {
	type InstanceId, type ServerId, type ServiceId, type VersionId, type ZoneId,
} from '@valehitch/core';
import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {type Evacuations} from '../servers/evacuations.js';
import {EntryServers} from './entry-servers.js';
import {type SpeedReports} from './entry-servers-options.js';
import {LoadExchange} from './load-exchange.js';

const one = 'control-1' as InstanceId;
const two = 'control-2' as InstanceId;
const now = 1000;

function ignore(): void {
	// Intentionally empty.
}

function createServers(...records: ReadonlyArray<ReturnType<typeof testServer>>): EntryServers {
	const servers = new EntryServers({
		zone: 'hall-a' as ZoneId, random: () => 0.5, loads: {peerLoadAt: () => 0, recordChange: ignore, discardServer: ignore}, onReplaced: ignore,
	});
	servers.applyRecords(records, {source: one, now});
	return servers;
}

function chooseId(servers: EntryServers, changes: Partial<Parameters<EntryServers['choose']>[0]> = {}): ServerId | undefined {
	return servers.choose({
		service: testServer().service, isAcceptable: () => true, excluded: new Set(), promptKey: undefined, now, ...changes,
	})?.id;
}

test('a draining server gets no requests, regardless of which control instance reports it and in which order', t => {
	const servers = createServers(testServer());
	t.is(chooseId(servers), testServer().id);
	servers.applyRecords([testServer({state: 'draining', sequence: 5})], {source: two, now});
	servers.applyRecords([testServer({sequence: 4})], {source: one, now});
	t.is(chooseId(servers), undefined);
});

test('an ended server is not restored by a control instance that missed its end', t => {
	const servers = createServers(testServer(), testServer({id: 'server-2' as ServerId}));
	const later = now + 65_000;
	const load = servers.beginSend(testServer().id, {load: 1, now: 0});
	servers.applyRecords([testServer({state: 'gone'})], {source: one, now: later});
	load.end();
	servers.applyRecords([testServer({id: 'server-2' as ServerId, sequence: 2})], {source: one, now: later + 500});
	servers.applyRecords([testServer({isSilent: true})], {source: two, now: later + 2000});
	t.is(chooseId(servers, {excluded: new Set(['server-2' as ServerId]), now: later + 2100}), undefined);
});

test('an outdated record is reported with its source', t => {
	const outdated: unknown[] = [];
	const servers = new EntryServers({
		zone: 'hall-a' as ZoneId,
		random: () => 0.5,
		loads: {peerLoadAt: () => 0, recordChange: ignore, discardServer: ignore},
		onReplaced: ignore,
		onOutdated(record, {held: {state}, source}) {
			outdated.push([record.state, state, source]);
		},
	});
	servers.applyRecords([testServer({state: 'draining'})], {source: one, now});
	servers.applyRecords([testServer({state: 'draining'})], {source: two, now});
	servers.applyRecords([testServer()], {source: two, now});
	t.deepEqual(outdated, [['ready', 'draining', two]]);
});

test('unwanted versions and excluded servers are not chosen', t => {
	const other = testServer({id: 'server-2' as ServerId, version: 'v2' as VersionId});
	const servers = createServers(testServer(), other);
	t.is(chooseId(servers, {isAcceptable: version => version === other.version}), other.id);
	t.is(chooseId(servers, {excluded: new Set([other.id])}), testServer().id);
	t.is(chooseId(servers, {excluded: new Set([other.id, testServer().id])}), undefined);
});

test('a silent or unreachable server is avoided while there is another, and used if there is none', t => {
	const other = testServer({id: 'server-2' as ServerId});
	const servers = createServers(testServer({isSilent: true}), other);
	t.is(chooseId(servers), other.id);
	servers.recordResult(other.id, 'unreachable', now);
	t.not(chooseId(servers), undefined);
	servers.applyRecords([testServer({sequence: 2})], {source: two, now});
	t.is(chooseId(servers), testServer().id);
	t.is(chooseId(servers, {now: now + 1000, excluded: new Set([testServer().id])}), other.id);
});

test('a server that sends and accepts nothing is avoided until it sends data, or for a short time after which it is tried', t => {
	const other = testServer({id: 'server-2' as ServerId});
	const servers = createServers(testServer(), other);
	const isAvoidedAt = (at: number) => servers.beliefs(at).find(({server}) => server === testServer().id)?.conditions.includes('unresponsive');
	servers.recordResult(testServer().id, 'silent', now);
	servers.recordResult(testServer().id, 'silent', now + 10);
	t.is(chooseId(servers), other.id);
	t.is(chooseId(servers, {excluded: new Set([other.id])}), testServer().id, 'it is used if there is none');
	t.deepEqual([now + 200, now + 300].map(at => isAvoidedAt(at)), [true, false]);
	servers.recordResult(testServer().id, 'silent', now + 600);
	t.false(isAvoidedAt(now + 600), 'sends of the same time say nothing new');
	servers.beginSend(testServer().id, {load: 1, now: now + 700});
	t.deepEqual([now + 900, now + 1000].map(at => isAvoidedAt(at)), [true, false]);
	servers.beginSend(testServer().id, {load: 1, now: now + 2000});
	t.true(isAvoidedAt(now + 2050));
	servers.recordData(testServer().id, now + 2100);
	t.false(isAvoidedAt(now + 2100));
});

test('connection failures of one service are forgotten without those of another', t => {
	const [labels, records] = ['labels', 'records'] as ServiceId[];
	const ids = ['labels-1', 'labels-2', 'records-1', 'records-2'] as ServerId[];
	const servers = createServers(...ids.map((id, index) => testServer({id, service: index < 2 ? labels! : records!, port: index + 1})));
	const chosen = () => [labels!, records!].map(service => chooseId(servers, {service}));
	const before = chosen();
	for (const id of before) {
		servers.recordResult(id!, 'unreachable', now);
	}

	const [, otherRecords] = chosen();
	t.not(otherRecords, before[1]);
	servers.forgetConnectionFailures(labels!);
	t.deepEqual(chosen(), [before[0], otherRecords]);
});

test('a server that only a partitioned control instance reports as silent is not avoided', t => {
	const other = testServer({id: 'server-2' as ServerId});
	const servers = createServers(testServer(), other);
	servers.applyRecords([testServer(), other], {source: two, now});
	servers.applyRecords([testServer({isSilent: true})], {source: two, now});
	servers.recordResult(other.id, 'unreachable', now);
	t.is(chooseId(servers), testServer().id);
});

test('reports of a control instance are ignored while it does not respond and after it restarts', t => {
	const other = testServer({id: 'server-2' as ServerId});
	const servers = createServers(testServer(), other);
	servers.applyRecords([testServer(), other], {source: two, now});
	servers.applyRecords([testServer({isSilent: true})], {source: one, now});
	servers.recordResult(other.id, 'unreachable', now);
	servers.markSourceLost(two);
	t.is(chooseId(servers, {now: now + 600}), other.id);
	servers.applyRecords([], {source: two, now});
	servers.recordResult(other.id, 'unreachable', now);
	t.is(chooseId(servers), testServer().id);
	servers.applyRecords([other], {source: two, now, isFullState: true});
	t.is(chooseId(servers, {now: now + 1100}), other.id);
});

test('a server is forgotten once no control instance reports it as alive', t => {
	const other = testServer({id: 'server-2' as ServerId});
	const servers = createServers(testServer(), other);
	servers.applyRecords([testServer({isSilent: true})], {source: one, now});
	t.is(chooseId(servers, {excluded: new Set([other.id])}), testServer().id);
	servers.applyRecords([], {source: one, now: now + 200_000});
	t.is(chooseId(servers, {excluded: new Set([other.id]), now: now + 200_000}), undefined);
	t.is(chooseId(servers, {now: now + 200_000}), other.id);
});

test('an address that another server took over is no longer used for the old server id', t => {
	const servers = createServers(testServer());
	servers.recordResult(testServer().id, 'gone', now);
	servers.applyRecords([testServer({sequence: 9})], {source: one, now});
	t.is(chooseId(servers), undefined);
});

test('a long prompt counts as a high load until its answer starts', t => {
	const other = testServer({id: 'server-2' as ServerId});
	const servers = createServers(testServer(), other);
	const load = servers.beginSend(testServer().id, {load: 50, now: 0});
	servers.beginSend(other.id, {load: 10, now: 0});
	t.deepEqual(servers.loads, [[testServer().id, 50], [other.id, 10]]);
	load.markAnswerStarted();
	t.deepEqual(servers.loads, [[testServer().id, 1], [other.id, 10]]);
	load.end();
	t.deepEqual(servers.loads, [[other.id, 10]]);
});

test('a server is in doubt while connections to it fail, its heartbeats are missing, its zone is out of reach, or it is not known', t => {
	const other = testServer({id: 'server-2' as ServerId, zone: 'hall-b' as ZoneId});
	const third = testServer({id: 'server-3' as ServerId, zone: 'hall-b' as ZoneId});
	const fourth = testServer({id: 'server-4' as ServerId, zone: 'hall-b' as ZoneId});
	const servers = createServers(testServer(), other, third, fourth);
	t.true(servers.isInDoubt(testServer({id: 'server-9' as ServerId}), now));
	t.false(servers.isInDoubt(testServer(), now));
	servers.recordResult(testServer().id, 'unreachable', now);
	t.true(servers.isInDoubt(testServer(), now));
	t.false(servers.isInDoubt(testServer(), now + 10_000));
	servers.recordResult(other.id, 'unreachable', now);
	t.false(servers.isInDoubt(fourth, now));
	servers.recordResult(third.id, 'unreachable', now);
	t.true(servers.isInDoubt(fourth, now));
	servers.applyRecords([testServer({isSilent: true})], {source: one, now});
	t.true(servers.isInDoubt(testServer(), now + 10_000));
});

test('once two servers of another zone are unreachable, the zone is avoided while other servers are available', t => {
	const far = ['server-2', 'server-3', 'server-4'].map(id => testServer({id: id as ServerId, zone: 'hall-b' as ZoneId}));
	const near = ['server-1', 'server-5'].map(id => testServer({id: id as ServerId}));
	const servers = createServers(...far, ...near);
	const tried = new Set(near.map(({id}) => id));
	t.true(far.some(({id}) => id === chooseId(servers, {excluded: tried})));
	servers.recordResult(far[0]!.id, 'unreachable', now);
	servers.recordResult(far[1]!.id, 'unreachable', now);
	t.not(chooseId(servers, {excluded: new Set([near[0]!.id])}), far[2]!.id);
	t.is(chooseId(servers, {excluded: new Set([near[0]!.id])}), near[1]!.id);
	servers.recordData(far[2]!.id, now);
	t.is(chooseId(servers, {excluded: tried}), far[2]!.id);
});

/** Creates servers with a load exchange, and collects the replaced processes. */
function createServersWithPeers(...records: ReadonlyArray<ReturnType<typeof testServer>>) {
	const replaced: string[] = [];
	const loads = new LoadExchange({ownLoads: () => [], peers: () => [], send: ignore});
	const servers = new EntryServers({
		zone: 'hall-a' as ZoneId, random: () => 0.5, loads, onReplaced({id, startedAt}) {
			replaced.push(`${id} ${startedAt}`);
		},
	});
	servers.applyRecords(records, {source: one, now});
	return {servers, loads, replaced};
}

test('a server that restarts with the same id is used immediately, without the state of its earlier process', t => {
	const {servers, loads, replaced} = createServersWithPeers(testServer({startedAt: 1000, sequence: 80}));
	const load = servers.beginSend(testServer().id, {load: 50, now: 0});
	loads.receive('entry-2' as InstanceId, {type: 'load', loads: [[testServer().id, 30]]}, now);
	servers.recordResult(testServer().id, 'gone', now);
	servers.recordResult(testServer().id, 'unreachable', now);
	const [changed] = servers.applyRecords([testServer({startedAt: 2000})], {source: two, now});
	t.like(changed, {state: 'ready', startedAt: 2000});
	t.is(chooseId(servers), testServer().id);
	t.true(load.processEnd.aborted);
	t.false(servers.isCurrent(testServer({startedAt: 1000, sequence: 80})), 'results of sends to the earlier process do not count for the new one');
	t.true(servers.isCurrent(testServer({startedAt: 2000, sequence: 7})));
	t.deepEqual(replaced, ['server-1 1000']);
	t.is(loads.peerLoadAt(testServer().id), 0);
	servers.beginSend(testServer().id, {load: 3, now: 0});
	load.end();
	t.deepEqual(servers.loads, [[testServer().id, 3]]);
});

test('a late record of an earlier process has no effect', t => {
	const {servers, replaced} = createServersWithPeers(testServer({startedAt: 2000}));
	const former = testServer({
		startedAt: 1000, sequence: 99, state: 'gone', isSilent: true,
	});
	t.deepEqual(servers.applyRecords([former], {source: two, now}), []);
	t.is(chooseId(servers), testServer().id);
	t.deepEqual(replaced, []);
});

test('a server that starts at the address of another one aborts the sends to it', t => {
	const {servers, replaced} = createServersWithPeers(testServer({startedAt: 1000}));
	const load = servers.beginSend(testServer().id, {load: 1, now: 0});
	servers.applyRecords([testServer({id: 'server-2' as ServerId, startedAt: 2000})], {source: one, now});
	t.true(load.processEnd.aborted);
	t.deepEqual(replaced, ['server-1 1000']);
	t.is(chooseId(servers), 'server-2' as ServerId);
	t.is(chooseId(servers, {excluded: new Set(['server-2' as ServerId])}), undefined);
});

for (const [name, later] of [['id', {}], ['address', {id: 'server-2' as ServerId}]] as const) {
	test(`the sends to a process that drains go on when a later one has its ${name}`, t => {
		const {servers, replaced} = createServersWithPeers(testServer({startedAt: 1000}));
		const load = servers.beginSend(testServer().id, {load: 1, now: 0});
		servers.applyRecords([testServer({startedAt: 1000, sequence: 2, state: 'draining'})], {source: one, now});
		servers.applyRecords([testServer({...later, startedAt: 2000})], {source: one, now});
		t.false(load.processEnd.aborted);
		t.deepEqual(replaced, ['server-1 1000']);
		t.is(chooseId(servers), testServer(later).id);
	});
}

test('failures and lost connections of an earlier process do not count against the new one', t => {
	const other = testServer({id: 'server-2' as ServerId});
	const {servers} = createServersWithPeers(testServer({startedAt: 1000}), other, ...['server-3', 'server-4'].map(id => testServer({id: id as ServerId})));
	for (let failures = 0; failures < 8; failures++) {
		servers.recordResult(testServer().id, 'failed', now);
	}

	const excluded = new Set(['server-3', 'server-4'] as ServerId[]);
	t.is(chooseId(servers, {excluded}), other.id);
	servers.applyRecords([testServer({startedAt: 2000})], {source: one, now});
	servers.recordResult(other.id, 'unreachable', now);
	t.is(chooseId(servers, {excluded}), testServer().id);
});

const zone = 'hall-a' as ZoneId;
const otherZone = 'hall-b' as ZoneId;

function evacuationsOf(revision: number, ...zones: readonly ZoneId[]): Evacuations {
	return {revision, zones: zones.map(evacuated => ({zone: evacuated, isEvacuated: true, revision}))};
}

test('no request goes to an evacuated zone, even if every other server fails', t => {
	const remote = testServer({id: 'server-2' as ServerId, zone: otherZone});
	const servers = createServers(testServer(), remote);
	servers.applyEvacuations(evacuationsOf(1, zone), now);
	for (let attempt = 0; attempt < 20; attempt++) {
		t.is(chooseId(servers), remote.id);
		servers.recordResult(remote.id, 'unreachable', now);
	}

	t.is(chooseId(servers, {excluded: new Set([remote.id])}), undefined);
	t.falsy(servers.availability.isEvacuated(testServer().service));
	servers.applyEvacuations(evacuationsOf(2, zone, otherZone), now);
	t.is(chooseId(servers), undefined);
	t.true(servers.availability.isEvacuated(testServer().service));
});

test('the servers of a service that may get requests are ready and in no evacuated zone', t => {
	const remote = testServer({id: 'server-2' as ServerId, zone: otherZone});
	const leaving = testServer({id: 'server-3' as ServerId, port: 3, state: 'draining'});
	const ofAnother = testServer({id: 'server-4' as ServerId, port: 4, service: 'another' as ServiceId});
	const servers = createServers(testServer(), remote, leaving, ofAnother);
	t.deepEqual(servers.availability.availableOf(testServer().service), [testServer().id, remote.id]);
	servers.applyEvacuations(evacuationsOf(1, zone), now);
	t.deepEqual(servers.availability.availableOf(testServer().service), [remote.id]);
});

test('a control instance that lags behind does not end an evacuation', t => {
	const servers = createServers(testServer());
	servers.applyEvacuations(evacuationsOf(2, zone), now);
	t.false(servers.applyEvacuations({revision: 1, zones: []}, now));
	t.is(chooseId(servers), undefined);
});

function createColdServers(...records: ReadonlyArray<ReturnType<typeof testServer>>): EntryServers {
	const servers = new EntryServers({
		zone, random: () => 0.5, loads: {peerLoadAt: () => 0, recordChange: ignore, discardServer: ignore}, onReplaced: ignore, coldDurationOf: () => 3000, heartbeatMilliseconds: 1200,
	});
	servers.applyRecords(records, {source: one, now});
	return servers;
}

test('a cold server gets the sends of its leases, also as the last one, and all requests once it is warm', t => {
	const later = now + 100;
	const servers = createColdServers(testServer({coldRemaining: 3000}));
	t.is(chooseId(servers), undefined);
	servers.limits.renewColdLeases({source: two, leases: [[testServer().id, 2]], validUntil: later + 2000});
	for (let send = 0; send < 2; send++) {
		t.is(chooseId(servers, {now: later}), testServer().id);
		servers.beginSend(testServer().id, {load: 1, now: later});
	}

	t.is(chooseId(servers, {now: later}), undefined);
	t.is(chooseId(servers, {now: later + 1100}), testServer().id, 'the window of the sends has passed');
	t.is(chooseId(servers, {now: later + 2100}), undefined, 'the lease has expired');
	t.is(chooseId(servers, {now: now + 3000}), testServer().id);
});

test('the servers of a zone count as cold after its evacuation until they announce that they are not', t => {
	const servers = createColdServers(testServer());
	servers.applyEvacuations(evacuationsOf(1, zone), now);
	servers.applyEvacuations({revision: 2, zones: [{zone, isEvacuated: false, revision: 2}]}, now);
	t.is(chooseId(servers), undefined);
	servers.applyRecords([testServer({sequence: 2})], {source: one, now: now + 100});
	t.is(chooseId(servers, {now: now + 100}), undefined, 'it may have been sent before the server became cold');
	servers.applyRecords([testServer({sequence: 3})], {source: one, now: now + 1300});
	t.is(chooseId(servers, {now: now + 1300}), testServer().id);
});

test('a server that names a rate limit gets no request without a lease, also if it is the only one', t => {
	const servers = createServers(testServer());
	servers.limits.rates.hear(testServer(), {requestsPerSecond: 1, now});
	t.is(chooseId(servers), undefined);
	t.is(servers.availability.waitFor(testServer().service, now), 1000);
	servers.applyRecords([testServer({id: 'server-3' as ServerId, zone: 'hall-b' as ZoneId})], {source: one, now});
	servers.applyEvacuations({revision: 1, zones: [{zone: 'hall-b' as ZoneId, isEvacuated: true, revision: 1}]}, now);
	t.is(servers.availability.waitFor(testServer().service, now), 1000, 'servers of an evacuated zone do not count');
	servers.applyRecords([testServer({id: 'server-2' as ServerId, sequence: 2})], {source: one, now});
	t.is(chooseId(servers), 'server-2' as ServerId);
	t.is(servers.availability.waitFor(testServer().service, now), 0);
});

test('a new process of a server does not inherit the rate limit of the former one', t => {
	const servers = createServers(testServer({startedAt: 1}));
	servers.limits.rates.hear(testServer({startedAt: 1}), {requestsPerSecond: 1, now});
	servers.applyRecords([testServer({startedAt: 2})], {source: one, now});
	t.is(chooseId(servers), testServer().id);
	servers.limits.rates.merge([{
		server: testServer().id, startedAt: 1, requestsPerSecond: 1, age: 0,
	}], now + 10);
	t.is(chooseId(servers, {now: now + 10}), testServer().id);
});

test('a server that asked for a pause gets no request until it ends, also if it is the only one, and then a single trial', t => {
	const servers = createServers(testServer());
	servers.limits.pauses.begin(testServer().id, {milliseconds: 3000, now});
	t.is(chooseId(servers, {now: now + 2999}), undefined);
	t.is(servers.availability.waitFor(testServer().service, now + 1000), 2000);
	t.is(chooseId(servers, {now: now + 3000}), testServer().id);
	servers.beginSend(testServer().id, {load: 1, now: now + 3000}).end();
	t.is(chooseId(servers, {now: now + 3100}), undefined);
});

test('a server that announced its shutdown in an answer gets no request though it still announces itself as ready', t => {
	const servers = createServers(testServer({startedAt: 1}));
	t.true(servers.markDraining(testServer().id));
	t.false(servers.markDraining(testServer().id));
	servers.applyRecords([testServer({startedAt: 1, sequence: 9})], {source: two, now});
	t.is(chooseId(servers), undefined);
	servers.applyRecords([testServer({startedAt: 2})], {source: two, now});
	t.is(chooseId(servers), testServer().id);
});

/** Creates nine servers of three zones, whose first events are told as given, and sends requests; returns how many each server received. */
function sendToNine(reports: SpeedReports, requests = 300): readonly number[] {
	let state = 20_261_204;
	const servers = new EntryServers({
		zone,
		random() {
			state = (state * 48_271) % 2_147_483_647;
			return state / 2_147_483_647;
		},
		loads: {
			peerLoadAt: id => Number(id.slice('server-'.length)) % 3, recordChange: ignore, discardServer: ignore, ...reports,
		},
		onReplaced: ignore,
	});
	const ids = Array.from({length: 9}, (_, index) => `server-${index}` as ServerId);
	servers.applyRecords(ids.map((id, index) => testServer({id, port: index + 1, zone: index % 2 === 0 ? zone : otherZone})), {source: one, now});
	const counts = ids.map(() => 0);
	for (let sent = 0; sent < requests; sent++) {
		const promptKey = sent % 3 === 0 ? {name: `part ${sent}`, affinityScope: 'all' as const} : undefined;
		const chosen = chooseId(servers, {promptKey, load: 1 + (sent % 4), now: now + sent})!;
		servers.beginSend(chosen, {load: 1 + (sent % 4), now: now + sent});
		counts[ids.indexOf(chosen)]!++;
	}

	return counts;
}

test('while no slowness is told, requests go where they went without speeds', t => {
	for (const age of [{}, {othersAge: 400}]) {
		t.deepEqual(sendToNine({
			slownessOf: () => undefined, workAt: () => undefined, recordSample: ignore, ...age,
		}), sendToNine(age));
	}
});

test('servers receive requests by their speed', t => {
	const counts = sendToNine({slownessOf: id => id === 'server-0' ? 3 : 1, othersAge: 400});
	const others = counts.slice(1).filter((_, index) => index % 2 === 1);
	t.true(counts[0]! < 0.6 * Math.min(...others), `${counts.join(', ')}`);
	t.true(counts[0]! > 0);
});

test('a server that generates many answers gets prompts while few wait there, until its slots are nearly taken', t => {
	const countsWith = (streams: number): readonly number[] => sendToNine({
		slownessOf: () => 1, usesDigest: true, othersAge: 400,
		workAt: id => id === 'server-0' ? {reading: 0, streams, slowness: 1} : {reading: 900, streams: 0, slowness: 1},
	});
	const {slots} = testServer();
	// Filled up, it gets 0.54 of what is not kept at a home; even shares are 0.2.
	t.true(countsWith(Math.floor(slots / 2))[0]! > 100, `${countsWith(Math.floor(slots / 2))[0]}`);
	t.is(countsWith((2 * slots) + 50)[0], 0);
});

test('by a digest, a server of a plain service gets no request while six more answers are generated there than elsewhere', t => {
	const [busy, free] = [testServer(), testServer({id: 'server-2' as ServerId, port: 2})];
	const streamsAt = (id: ServerId): number => id === busy.id ? 6 : 0;
	let drawn = 0;
	const servers = new EntryServers({
		zone,
		random: () => (drawn++ % 100) / 100,
		hasPrompts: () => false,
		loads: {
			peerLoadAt: streamsAt,
			workAt: id => ({reading: 0, streams: streamsAt(id), slowness: 1}),
			slownessOf: () => 1, usesDigest: true, othersAge: 100, recordChange: ignore, discardServer: ignore,
		},
		onReplaced: ignore,
	});
	servers.applyRecords([busy, free], {source: one, now});
	const chosen = Array.from({length: 100}, () => chooseId(servers, {load: 1}));
	t.is(chosen.filter(id => id === busy.id).length, 0);
});

test('by a digest, as much work counts as having arrived as the servers can process', t => {
	const counts = sendToNine({
		slownessOf: () => 1, usesDigest: true, othersAge: 200, workAt: id => ({reading: id === 'server-0' ? 0 : 2000, streams: 0, slowness: 1}),
	});
	t.true(counts[0]! >= 190, `${counts.join(', ')}`);
});

test('the first event that a server of mean speed would give is expected after the work that waits', t => {
	const samples: unknown[] = [];
	const servers = new EntryServers({
		zone,
		random: () => 0.5,
		loads: {
			peerLoadAt: () => 0,
			recordChange: ignore,
			discardServer: ignore,
			workAt: () => ({reading: 300, streams: 1, slowness: 2}),
			recordSample(id, sample) {
				samples.push([id, sample]);
			},
		},
		onReplaced: ignore,
	});
	t.is(servers.expectedFirstEvent(testServer().id, 100), 400);
	t.is(servers.expectedFirstEvent(testServer().id, undefined), undefined);
	servers.recordFirstEvent(testServer().id, {observed: 800, expected: 400}, now);
	t.deepEqual(samples, [[testServer().id, {observed: 800, expected: 400}]]);
});
