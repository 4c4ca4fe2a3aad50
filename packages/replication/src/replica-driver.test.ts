import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {type ReplicaId, toReplicaId} from '@valehitch/consensus';
import {type Failure} from '@valehitch/core';
import {type FileSystem, openDataFolder, nodeFileSystem} from '@valehitch/storage';
import test, {type ExecutionContext} from 'ava';
import {ReplicaDriver} from './replica-driver.js';

/** Starts a driver for the only voter of a group, on a disk that can be made full. */
async function startDriver(t: ExecutionContext) {
	const disk = {isFull: false, syncs: 0};
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
				async sync() {
					disk.syncs++;
					await open.sync();
				},
			};
		},
	};
	const directory = await mkdtemp(path.join(tmpdir(), 'valehitch-driver-'));
	const opened = await openDataFolder(directory, {fileSystem: files});
	const folder = opened.unsafeCoerce();
	const self: ReplicaId = toReplicaId('entry-1', folder.takeStoredState().identity);
	const committed: string[] = [];
	const failures: Failure[] = [];
	const waiters: Array<() => void> = [];
	const wake = (): void => {
		for (const resolve of waiters.splice(0)) {
			resolve();
		}
	};

	const driver = new ReplicaDriver({
		replica: {id: self, replicas: {voters: [self], learners: []}, seed: 1},
		folder,
		clock: {now: () => new Date(0), monotonic: () => performance.now()},
		send() {
			t.fail('The only voter of a group must not send messages');
		},
		apply(actions) {
			committed.push(...actions.committed.flatMap(({payload}) => payload.type === 'command' ? [new TextDecoder().decode(payload.data)] : []));
		},
		onStepsCompleted: wake,
		onFailure(failed) {
			failures.push(failed);
			wake();
		},
	});
	t.teardown(async () => {
		await driver.stop();
		await folder.close();
		await rm(directory, {recursive: true});
	});
	const propose = (text: string): void => {
		driver.push({type: 'propose', proposals: [{proposalId: text, data: new TextEncoder().encode(text)}]});
	};

	const nextStep = async (): Promise<void> => new Promise(resolve => {
		waiters.push(resolve);
	});
	driver.push({type: 'tick'});
	await nextStep();
	return {
		disk, committed, failures, propose, nextStep, driver,
	};
}

test('queued commands share one disk sync', async t => {
	const {disk, committed, propose, nextStep} = await startDriver(t);
	const before = disk.syncs;
	for (let number = 0; number < 100; number++) {
		propose(`command ${number}`);
	}

	await nextStep();
	t.is(committed.length, 100);
	t.is(disk.syncs, before + 1);
});

test('a full disk stops the replica once, and a command that was not written is not acknowledged', async t => {
	const {disk, committed, failures, propose, nextStep, driver} = await startDriver(t);
	propose('kept');
	await nextStep();
	disk.isFull = true;
	propose('lost');
	await nextStep();
	disk.isFull = false;
	propose('late');
	await driver.stop();
	t.deepEqual(committed, ['kept']);
	t.is(failures.length, 1);
	t.regex(failures[0]?.message ?? '', /ENOSPC/v);
});

/** Files whose syncs can be stalled by the test. */
function stallableFiles(disk: {isBusy: boolean; goOn: () => void}): FileSystem {
	return {
		...nodeFileSystem,
		async create(file) {
			const open = await nodeFileSystem.create(file);
			return {
				...open,
				async sync() {
					if (disk.isBusy) {
						await new Promise<void>(resolve => {
							disk.goOn = resolve;
						});
					}

					await open.sync();
				},
			};
		},
	};
}

test('messages received while the disk was busy are processed before the election timeout is evaluated', async t => {
	const directory = await mkdtemp(path.join(tmpdir(), 'valehitch-driver-'));
	const disk = {isBusy: false, goOn: (): void => undefined};
	const opened = await openDataFolder(directory, {fileSystem: stallableFiles(disk)});
	const folder = opened.unsafeCoerce();
	const self: ReplicaId = toReplicaId('entry-1', folder.takeStoredState().identity);
	const leader = toReplicaId('entry-2', 'other');
	const clock = {time: 0, now: () => new Date(0), monotonic: () => clock.time};
	const sent: string[] = [];
	const driver = new ReplicaDriver({
		replica: {id: self, replicas: {voters: [self, leader], learners: []}, seed: 1},
		folder,
		clock,
		send(_to, {type}) {
			sent.push(type);
		},
		apply() {
			// Nothing is committed.
		},
		onStepsCompleted() {
			// The sent messages show when a step has run.
		},
		onFailure({message}) {
			t.fail(message);
		},
	});
	const receiveHeartbeat = (): void => {
		driver.push({
			type: 'message', from: leader, message: {
				type: 'append-request', term: 1, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0, round: 1,
			},
		});
	};

	disk.isBusy = true;
	receiveHeartbeat();
	await delay(0);
	driver.push({type: 'tick'});
	receiveHeartbeat();
	clock.time = 60_000;
	disk.isBusy = false;
	disk.goOn();
	while (sent.length < 2) {
		await delay(0);
	}

	t.deepEqual(sent, ['append-reply', 'append-reply']);
	await driver.stop();
	await folder.close();
	await rm(directory, {recursive: true});
});
