import {type InstanceId, type ServerId} from '@valehitch/core';
import test from 'ava';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {testServer} from '../servers/_test-server.js';
import {type ServerRecord} from '../servers/server-record.js';
import {MessageReaders} from './message-readers.js';
import {type PeerMessage} from './peer-message.js';
import {ServerDirectorySync} from './server-directory-sync.js';

const [first, second] = ['10.0.0.1', '10.0.0.2'] as InstanceId[];

type Side = {
	readonly self: InstanceId;
	readonly other: InstanceId;
	readonly saved?: readonly ServerRecord[];
};

/** Starts two control instances that exchange messages without delay. */
function startPair(saved: readonly ServerRecord[] = [], isDiskTaking: () => boolean | Promise<boolean> = () => true) {
	const syncs = new Map<InstanceId, ServerDirectorySync>();
	const written: Array<readonly ServerRecord[]> = [];
	const lines: Array<Readonly<Record<string, unknown>>> = [];
	const link = {isPartitioned: false, run: 'one', takesServerRows: false};
	const sent: PeerMessage[] = [];
	const time = {now: 1000};
	const start = ({self, other, saved: records = []}: Side): ServerDirectorySync => {
		const sync = new ServerDirectorySync({
			clock: {now: () => new Date(0), monotonic: () => time.now},
			log(kind, fields) {
				lines.push({...fields, line: kind});
			},
			metrics: createGatewayMetrics(),
			heartbeatMilliseconds: 1200,
			others: () => [other],
			async ask(to, message) {
				sent.push(message);
				return link.isPartitioned ? undefined : answer(syncs.get(to), message, link);
			},
			summaryReaders: new MessageReaders(),
			onChange: doNothing,
			saved: {
				read: async () => records,
				async write(changed) {
					written.push(changed);
					return isDiskTaking();
				},
			},
		});
		syncs.set(self, sync);
		return sync;
	};

	return {
		one: start({self: first!, other: second!, saved}), other: start({self: second!, other: first!}), written, lines, link, sent, time,
	};
}

type ServersReplyFields = {
	readonly run: string;
	readonly takesServerRows: boolean;
};

async function answer(sync: ServerDirectorySync | undefined, message: PeerMessage, {run, takesServerRows}: ServersReplyFields): Promise<unknown> {
	if (message.type === 'server-ended') {
		sync?.markEnded(message.server);
		return true;
	}

	if (message.type === 'servers') {
		sync?.receive(message);
		return {run, ...(takesServerRows && {takesServerRows})};
	}

	return message.type === 'all-servers' ? sync?.allServersReply : undefined;
}

function doNothing(): void {
	// Notifications are not needed.
}

async function runPendingTasks(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

/** The servers in each message of records, in the order in which the messages were sent. */
function serversOf(sent: readonly PeerMessage[]): ReadonlyArray<readonly string[]> {
	return sent.flatMap(message => message.type === 'servers' ? [message.records.map(({id}) => id)] : []);
}

const states = ({directory}: ServerDirectorySync) => directory.records.map(({id, state}) => `${id} ${state}`);

test('a stop notice for a server that the receiver does not know reaches the instance that does', async t => {
	const {one, other} = startPair();
	other.receive({type: 'servers', records: [testServer()]});
	await one.remove(testServer().id);
	t.deepEqual(states(other), ['server-1 gone']);
	one.receive({type: 'servers', records: [testServer({sequence: 9})]});
	t.deepEqual(states(one), ['server-1 gone']);
});

test('a restarted instance restores its saved servers, and newer announcements take precedence', async t => {
	const {one} = startPair([testServer(), testServer({id: 'server-2' as ServerId})]);
	await one.announce(testServer({state: 'draining', sequence: 2}));
	await one.restore();
	t.deepEqual(states(one).toSorted(), ['server-1 draining', 'server-2 ready']);
});

test('servers are saved only when they change', async t => {
	const {one, written} = startPair();
	await one.announce(testServer());
	await one.save();
	await one.announce(testServer({sequence: 2}));
	await one.save();
	t.deepEqual(written.map(records => records.map(({id}) => id)), [['server-1' as ServerId]]);
});

test('a failed save is retried even if nothing changed', async t => {
	let isDiskTaking = false;
	const {one, written} = startPair([], () => isDiskTaking);
	await one.announce(testServer());
	await one.save();
	isDiskTaking = true;
	await one.save();
	await one.save();
	t.is(written.length, 2);
});

test('a notice that another control instance did not acknowledge is logged with the name of that instance', async t => {
	const {one, lines, link} = startPair();
	await one.announce(testServer());
	link.isPartitioned = true;
	await one.announce(testServer({state: 'draining', sequence: 2}));
	await one.remove(testServer().id);
	const missed = {server: testServer().id, missed: [second], line: 'server-notice-missed'};
	t.deepEqual(lines.filter(({line}) => line === 'server-notice-missed'), [missed, missed]);
});

test('a stop notice missed during a network partition is delivered after the partition has healed', async t => {
	const {one, other, link} = startPair();
	await one.announce(testServer());
	one.runSyncRound();
	link.isPartitioned = true;
	await one.remove(testServer().id);
	t.deepEqual(states(other), ['server-1 ready']);
	link.isPartitioned = false;
	one.runSyncRound();
	t.deepEqual(states(other), ['server-1 gone']);
});

test('acknowledged records are not sent again, except to a restarted process, which receives all of them', async t => {
	const {one, link, sent} = startPair();
	await one.announce(testServer());
	one.runSyncRound();
	await runPendingTasks();
	await one.announce(testServer({id: 'server-2' as ServerId}));
	sent.length = 0;
	for (const run of ['one', 'one', 'two', 'two', 'two']) {
		link.run = run;
		one.runSyncRound();
		await runPendingTasks();
		await one.announce(testServer({id: 'server-2' as ServerId, sequence: 2}));
	}

	t.deepEqual(serversOf(sent), [['server-2'], ['server-2'], ['server-2'], ['server-1', 'server-2'], ['server-2']]);
});

test('a restored server that another instance does not list is marked silent unless that instance has just started', async t => {
	for (const [listened, isSilent] of [[6000, true], [500, false]] as const) {
		const {one, other, time} = startPair([testServer()]);
		await other.announce(testServer({id: 'server-2' as ServerId}));
		time.now += listened;
		await one.start();
		one.stop();
		await runPendingTasks();
		t.is(one.directory.records.find(({id}) => id === testServer().id)?.isSilent, isSilent);
	}
});

test('a shutdown is saved before it is acknowledged, and a stalled disk does not block the acknowledgement', async t => {
	const {one, written} = startPair();
	await one.announce(testServer());
	await one.announce(testServer({state: 'draining', sequence: 2}));
	t.is(written.at(-1)?.[0]?.state, 'draining');
	await one.remove(testServer().id);
	t.is(written.at(-1)?.[0]?.state, 'gone');

	const stalled = startPair([], async () => new Promise(doNothing));
	await stalled.one.announce(testServer({state: 'draining'}));
	t.deepEqual(states(stalled.other), ['server-1 draining']);
});

test('heartbeats go as rows to a control instance that reads them, and as records to one that was replaced by the version before', async t => {
	const {one, other, link, sent, time} = startPair();
	link.takesServerRows = true;
	const cold = testServer({id: 'server-2' as ServerId, port: 10});
	const coldUntil = time.now + 9000;
	const beat = async (sequence: number): Promise<void> => {
		await one.announce(testServer({sequence}));
		await one.announce({...cold, sequence, coldRemaining: coldUntil - time.now});
		one.runSyncRound();
		await runPendingTasks();
	};

	await beat(1);
	sent.length = 0;
	time.now += 5000;
	await beat(2);
	t.deepEqual(serversOf(sent), [['server-2']]);
	t.deepEqual(other.directory.records.map(({id, sequence}) => [id, sequence]), [[testServer().id, 2], [cold.id, 2]]);
	t.deepEqual(other.directory.sweep(time.now + 5000), []);
	t.deepEqual(other.directory.coldServers(time.now).map(({id}) => id), [cold.id]);
	link.takesServerRows = false;
	await beat(3);
	sent.length = 0;
	await beat(4);
	t.deepEqual(serversOf(sent), [['server-1', 'server-2']]);
	t.deepEqual(other.directory.records.map(({sequence}) => sequence), [4, 4]);
});

test('changes sent as rows are sent again to a control instance that was replaced by the version before, though it had acknowledged none', async t => {
	const {one, link, sent} = startPair();
	link.takesServerRows = true;
	await one.announce(testServer());
	for (const run of ['one', 'two']) {
		link.run = run;
		await one.announce(testServer({id: `server-${run}` as ServerId, port: 20 + run.length + run.codePointAt(0)!}));
		one.runSyncRound();
		await runPendingTasks();
	}

	Object.assign(link, {run: 'three', takesServerRows: false});
	one.runSyncRound();
	await runPendingTasks();
	sent.length = 0;
	one.runSyncRound();
	await runPendingTasks();
	t.deepEqual(serversOf(sent).map(ids => ids.toSorted()), [['server-1', 'server-one', 'server-two']]);
});
