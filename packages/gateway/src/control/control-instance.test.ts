import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout} from 'node:timers/promises';
import {
	failure, type InstanceId, type ServerId, type ServiceId, toId, type VersionId, type ZoneId,
} from '@valehitch/core';
import {type FileSystem, openDataFolder, nodeFileSystem} from '@valehitch/storage';
import {type SuspectRecord} from '@valehitch/routing';
import test, {type ExecutionContext} from 'ava';
import {Left, Right} from 'purify-ts';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {testServer} from '../servers/_test-server.js';
import {type ServerRecord} from '../servers/server-record.js';
import {eventually, submit} from './_test-control.js';
import {ControlInstance} from './control-instance.js';
import {type WatchReply, type WorkReply} from './peer-message.js';

const self = '10.0.0.1' as InstanceId;
const entry = '10.0.0.9' as InstanceId;

type TestControlOptions = {
	/** Reads the suspect records that the previous run saved; none by default. */
	readonly readSuspects?: () => Promise<readonly SuspectRecord[]>;
	/** Saves the servers; does nothing by default. */
	readonly writeServers?: (records: readonly ServerRecord[]) => Promise<boolean>;
	/** Whether to wait until the instance has started; true by default. */
	readonly isAwaited?: boolean;
};

/** Starts a deployment with a single control instance, on a disk that can be made full. */
async function startControl(t: ExecutionContext, {readSuspects = async () => [], writeServers = async () => true, isAwaited = true}: TestControlOptions = {}) {
	const disk = {isFull: false};
	const files: FileSystem = {
		...nodeFileSystem,
		async create(file) {
			const open = await nodeFileSystem.create(file);
			return {
				...open,
				async append(data) {
					if (disk.isFull) {
						throw new Error('ENOSPC: no space left on device');
					}

					await open.append(data);
				},
			};
		},
	};
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-control-'));
	const control = new ControlInstance({
		self,
		zone: 'hall-a' as ZoneId,
		clock: {now: () => new Date(), monotonic: () => performance.now()},
		random: () => 0.5,
		log: doNothing,
		metrics: createGatewayMetrics(),
		isFounding: true,
		processStartedAt: 0,
		seeds: () => [self],
		heartbeatMilliseconds: 1200,
		zones: () => ['hall-a', 'hall-b'] as ZoneId[],
		toleratedLosses: 1,
		coldTolerance: {factor: 1, slack: 0},
		parse: () => Left(failure('invalid-configuration', 'not parsed here')),
		openFolder: async () => openDataFolder(folder, {fileSystem: files, lock: async () => Right(async () => undefined)}),
		savedServers: {read: async () => [], write: writeServers},
		savedSuspects: {read: readSuspects, write: async () => true},
		send: doNothing,
		ask: async () => undefined,
		run: 'one',
	});
	const started = control.start();
	if (isAwaited) {
		await started;
	}

	t.teardown(async () => {
		await started;
		await control.stop();
		await rm(folder, {recursive: true, force: true});
	});
	return {control, disk};
}

function doNothing(): void {
	// There are no other instances.
}

async function readDocument(control: ControlInstance): Promise<string | undefined> {
	const document = await control.operators.readConfiguration();
	return document.caseOf({Left: () => undefined, Right: value => value.document});
}

async function poll(control: ControlInstance, changes: Partial<Pick<WatchReply, 'run' | 'cursor'>> & {readonly configurationVersion?: number} = {}): Promise<WatchReply> {
	return await control.answer(entry, {
		type: 'watch', isUrgent: false, zone: 'hall-a' as ZoneId, configurationVersion: undefined, run: '', cursor: 0, suspectCursor: 0, rolloutDigest: '', evidence: [], ...changes,
	}) as WatchReply;
}

test('a started instance has restored the suspect records of its previous run', async t => {
	const saved: SuspectRecord = {
		fingerprint: toId('f1'), ends: ['a', 'b', 'c'].map(process => ({process, at: Date.now(), isCleared: false})),
	};
	const {control} = await startControl(t, {
		async readSuspects() {
			await setTimeout(300);
			return [saved];
		},
	});
	t.deepEqual(await control.listSuspects(), [{...saved, isSaved: true}]);
});

test('an entry instance gets neither a configuration nor a confirmation before the suspect records of the previous run are restored', async t => {
	const saved: SuspectRecord = {
		fingerprint: toId('f1'), ends: ['a', 'b', 'c'].map(process => ({process, at: Date.now(), isCleared: false})),
	};
	let finish: ((records: readonly SuspectRecord[]) => void) | undefined;
	const {control} = await startControl(t, {
		readSuspects: async () => new Promise(resolve => {
			finish = resolve;
		}),
		isAwaited: false,
	});
	t.teardown(() => finish?.([]));
	await eventually(async () => submit(control, 1));
	const early = await poll(control);
	t.deepEqual([early.configuration, early.confirmedAgo], [undefined, undefined]);
	finish!([saved]);
	const late = await eventually(async () => {
		const reply = await poll(control);
		return reply.confirmedAgo === undefined ? undefined : reply;
	});
	t.is(late.configuration?.version, 1);
	t.deepEqual(late.suspects, [saved]);
});

test('a full disk rejects changes, and the replica recovers with all acknowledged changes once there is space', async t => {
	const {control, disk} = await startControl(t);
	await eventually(async () => submit(control, 3));
	disk.isFull = true;
	t.is(await submit(control, 5), undefined);
	disk.isFull = false;
	const document = await eventually(async () => readDocument(control));
	// The rejected change may or may not be in the log, but no state older than the acknowledged change is returned.
	t.true(['version 3', 'version 5'].includes(document));
	await eventually(async () => submit(control, 9));
	t.is(await eventually(async () => readDocument(control)), 'version 9');
});

test('an entry instance receives the changes it lacks with the age of their confirmation, and nothing twice', async t => {
	const {control} = await startControl(t);
	await eventually(async () => submit(control, 3));
	await control.announce(testServer());
	const first = await eventually(async () => {
		const reply = await poll(control);
		return reply.confirmedAgo === undefined ? undefined : reply;
	});
	t.is(first.configuration?.document, 'version 3');
	t.deepEqual(first.records.map(({id}) => id), [testServer().id]);
	const second = await poll(control, {run: first.run, cursor: first.cursor, configurationVersion: 3});
	t.is(second.configuration, undefined);
	t.deepEqual(second.records, []);
	t.true(second.confirmedAgo! < 5000);
});

test('a shutdown that another control instance forwards is saved before it is acknowledged', async t => {
	const written: Array<readonly ServerRecord[]> = [];
	const {control} = await startControl(t, {
		async writeServers(records) {
			written.push(records);
			return true;
		},
	});
	const other = '10.0.0.2' as InstanceId;
	await control.answer(other, {type: 'servers', records: [testServer({state: 'draining'})]});
	t.deepEqual(written.map(records => records.map(({state}) => state)), [['draining']]);
	await control.answer(other, {type: 'server-ended', server: testServer().id});
	t.deepEqual(written.at(-1)?.map(({state}) => state), ['gone']);
});

test('a shutdown that another control instance forwards is acknowledged although the disk does not respond', async t => {
	let finish: ((isWritten: boolean) => void) | undefined;
	const {control} = await startControl(t, {
		writeServers: async () => new Promise(resolve => {
			finish = resolve;
		}),
	});
	t.teardown(() => finish?.(false));
	t.true(await control.answer('10.0.0.2' as InstanceId, {type: 'server-ended', server: testServer().id}));
	t.truthy(await control.answer('10.0.0.2' as InstanceId, {type: 'servers', records: [testServer({id: 'server-2' as ServerId, state: 'draining'})]}));
	t.truthy(finish);
});

/** A caller that waits for its answer. */
const caller = new AbortController().signal;

test('a repeated rollout order is acknowledged again, and an unknown service has no rollout', async t => {
	const {control} = await startControl(t);
	const order = {service: 'models' as ServiceId, target: 'v2' as VersionId, duration: 60_000};
	await eventually(async () => {
		const started = await control.operators.startRollout(order, {caller});
		return started.isRight() || undefined;
	});
	const again = await control.operators.startRollout(order, {caller});
	t.true(again.isRight());
	const known = await control.operators.readRollout(order.service);
	t.is(known.unsafeCoerce().stage, 'canary');
	const unknown = await control.operators.readRollout('other' as ServiceId);
	t.is(unknown.swap().unsafeCoerce().kind, 'not-found');
});

test('an evacuation is acknowledged once it is committed, is told to entry instances, and is kept by a repeated order', async t => {
	const {control} = await startControl(t);
	const evacuate = async (zone: string, isEvacuated: boolean) => control.operators.setEvacuation({zone: zone as ZoneId, isEvacuated}, {caller});
	const first = await eventually(async () => {
		const ordered = await evacuate('hall-a', true);
		return ordered.toMaybe().extract();
	});
	t.deepEqual(first, {type: 'evacuation', evacuation: {zone: 'hall-a' as ZoneId, isEvacuated: true, revision: 1}});
	const repeated = await evacuate('hall-a', true);
	t.deepEqual(repeated.extract(), first);
	const reply = await poll(control);
	t.deepEqual(reply.evacuations, {revision: 1, zones: [{zone: 'hall-a' as ZoneId, isEvacuated: true, revision: 1}]});
	const unknown = await evacuate('hall-x', true);
	t.is(unknown.swap().map(({kind}) => kind).extract(), 'not-found');
	const ended = await evacuate('hall-a', false);
	t.like(ended.extract(), {type: 'evacuation', evacuation: {isEvacuated: false, revision: 2}});
});

test('a control instance says that it reads reports of work, and answers them with the work of the others', async t => {
	const {control} = await startControl(t);
	const reply = await control.answer(entry, {
		type: 'watch', isUrgent: true, zone: 'hall-a' as ZoneId, configurationVersion: undefined, run: '', cursor: 0, suspectCursor: 0, rolloutDigest: '', evidence: [],
	}) as WatchReply;
	t.true(reply.takesWorkReports);
	t.is(reply.zone, 'hall-a' as ZoneId);
	const report = {
		type: 'work-report', run: 'one', sequence: 1, held: [],
	} as const;
	const other = '10.0.0.8' as InstanceId;
	t.deepEqual(await control.answer(other, {...report, rows: [['i-1' as ServerId, 100, 1, 20, 10]]}), {rows: [], held: [], age: 0});
	const {rows} = await control.answer(entry, {...report, rows: []}) as WorkReply;
	t.deepEqual(rows, [['i-1' as ServerId, 100, 1, 20, 10]]);
	t.like(await control.answer(other, {type: 'servers', records: []}), {takesWorkSummaries: true});
});
