import {type InstanceId, type RequestFingerprint} from '@valehitch/core';
import {type SuspectRecord} from '@valehitch/routing';
import test from 'ava';
import {type PeerMessage, type SuspectsMessage} from './peer-message.js';
import {SuspectSync} from './suspect-sync.js';

const fingerprint = 'f1' as RequestFingerprint;
const peer = '10.0.0.2' as InstanceId;

function record(processes: readonly string[]): SuspectRecord {
	return {fingerprint, ends: processes.map(process => ({process, at: 0, isCleared: false}))};
}

type SyncOptions = {
	readonly saved?: readonly SuspectRecord[];
	readonly known?: readonly SuspectRecord[];
	/** Whether writes to the disk succeed. */
	readonly isWritable?: boolean;
};

function startSync({saved = [], known = [], isWritable = true}: SyncOptions = {}) {
	const sent: PeerMessage[] = [];
	const written: Array<readonly SuspectRecord[]> = [];
	const changes = {count: 0};
	const sync = new SuspectSync({
		clock: {now: () => new Date(0)},
		log: doNothing,
		others: () => [peer],
		async ask(_to, message): Promise<SuspectsMessage | undefined> {
			sent.push(message);
			return message.type === 'all-suspects' ? {type: 'suspects', records: known, isRelayed: true} : undefined;
		},
		onChange() {
			changes.count++;
		},
		saved: {
			read: async () => saved,
			async write(records) {
				written.push(records);
				return isWritable;
			},
		},
	});
	return {
		sync, sent, written, changes,
	};
}

function doNothing(): void {
	// The log is not checked.
}

async function delay(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

test('reports of entry instances are relayed in one message, and relayed records are not relayed again', async t => {
	const {sync, sent} = startSync();
	sync.receive({type: 'suspects', records: [record(['a'])], isRelayed: false});
	sync.receive({type: 'suspects', records: [record(['b'])], isRelayed: false});
	sync.receive({type: 'suspects', records: [record(['c'])], isRelayed: true});
	await delay(60);
	t.deepEqual(sent.map(message => message.type === 'suspects' && message.records.map(({ends}) => ends.length)), [[3]]);
	t.is(sync.registry.status(fingerprint, 0), 'quarantined');
	sync.receive({type: 'suspects', records: [record(['a'])], isRelayed: false});
	await delay(60);
	t.is(sent.length, 1);
	sync.stop();
});

test('waiting entry instances are notified only of records that are shared with them', t => {
	const {sync, changes} = startSync();
	sync.receive({type: 'suspects', records: [record(['a'])], isRelayed: true});
	t.is(changes.count, 0);
	sync.receive({type: 'suspects', records: [record(['b'])], isRelayed: true});
	t.is(changes.count, 1);
});

test('a restarted instance has its saved records and those of the other instances', async t => {
	const {sync} = startSync({saved: [record(['a', 'b'])], known: [record(['c'])]});
	await sync.start();
	await delay(20);
	t.is(sync.registry.status(fingerprint, 0), 'quarantined');
	sync.stop();
});

test('shared records are saved only when they change', async t => {
	const {sync, written} = startSync();
	sync.receive({type: 'suspects', records: [record(['a'])], isRelayed: true});
	await sync.save();
	sync.receive({type: 'suspects', records: [record(['b'])], isRelayed: true});
	await sync.save();
	await sync.save();
	t.deepEqual(written, [[record(['a', 'b'])]]);
});

test('lifting a quarantine applies to all instances, and an unknown request is reported as such', async t => {
	const {sync, sent} = startSync();
	t.is(await sync.liftQuarantine(fingerprint), undefined);
	sync.receive({type: 'suspects', records: [record(['a', 'b', 'c'])], isRelayed: true});
	t.deepEqual(await sync.liftQuarantine(fingerprint), {isSaved: true});
	t.is(sync.registry.status(fingerprint, 0), 'unknown');
	await delay(60);
	t.true(sent.some(message => message.type === 'suspects' && message.records.every(({ends}) => ends.every(({isCleared}) => isCleared))));
	sync.stop();
});

test('a crash reported while the list is being saved is saved immediately afterwards', async t => {
	const {sync, written} = startSync();
	sync.receive({type: 'suspects', records: [record(['a', 'b'])], isRelayed: true});
	sync.receive({type: 'suspects', records: [record(['c'])], isRelayed: true});
	await delay(20);
	t.deepEqual(written.map(([saved]) => saved?.ends.length), [2, 3]);
});

test('records are listed after they are saved, and those that could not be saved are marked', async t => {
	const started = startSync();
	started.sync.receive({type: 'suspects', records: [record(['a', 'b'])], isRelayed: true});
	started.sync.receive({type: 'suspects', records: [record(['c'])], isRelayed: true});
	t.deepEqual(await started.sync.list(), [{...record(['a', 'b', 'c']), isSaved: true}]);
	t.deepEqual(started.written.at(-1), [record(['a', 'b', 'c'])]);
	const refused = startSync({isWritable: false});
	refused.sync.receive({type: 'suspects', records: [record(['a', 'b'])], isRelayed: true});
	t.deepEqual(await refused.sync.list(), [{...record(['a', 'b']), isSaved: false}]);
	t.deepEqual(await refused.sync.liftQuarantine(fingerprint), {isSaved: false});
});

test('a starting instance sends its saved records to the others, which may have lost their disks', async t => {
	const {sync, sent} = startSync({saved: [record(['a', 'b', 'c'])]});
	await sync.start();
	t.deepEqual(sent.filter(({type}) => type === 'suspects'), [{type: 'suspects', records: [record(['a', 'b', 'c'])], isRelayed: true}]);
	sync.stop();
});
