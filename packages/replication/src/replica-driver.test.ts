import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {
	type AppendReply, type AppendRequest, createReplica, isLeader, leaseValidUntil, type ReplicaId, type ReplicaMessage, step, toReplicaId,
} from '@valehitch/consensus';
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

function idle(): void {
	// No sync is stalled.
}

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

/** Starts a driver for a follower whose syncs and clock are controlled by the test. */
async function startFollower(t: ExecutionContext) {
	const directory = await mkdtemp(path.join(tmpdir(), 'valehitch-driver-'));
	const disk = {isBusy: false, goOn: idle};
	const opened = await openDataFolder(directory, {fileSystem: stallableFiles(disk)});
	const folder = opened.unsafeCoerce();
	const self: ReplicaId = toReplicaId('entry-1', folder.takeStoredState().identity);
	const leader = toReplicaId('entry-2', 'other');
	const clock = {time: 0, now: () => new Date(0), monotonic: () => clock.time};
	const sent: ReplicaMessage[] = [];
	const driver = new ReplicaDriver({
		replica: {id: self, replicas: {voters: [self, leader], learners: []}, seed: 1},
		folder,
		clock,
		send(_to, message) {
			sent.push(message);
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
	t.teardown(async () => {
		disk.isBusy = false;
		disk.goOn();
		await driver.stop();
		await folder.close();
		await rm(directory, {recursive: true});
	});
	const receive = (request: Partial<AppendRequest> = {}): void => {
		driver.push({
			type: 'message', from: leader, message: {
				type: 'append-request', term: 1, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0, round: 1, ...request,
			},
		});
	};

	const waitForMessages = async (count: number): Promise<void> => {
		while (sent.length < count) {
			await delay(0);
		}
	};

	return {
		disk, clock, sent, driver, receive, waitForMessages, self, leader,
	};
}

test('messages received while the disk was busy are processed before the election timeout is evaluated', async t => {
	const {disk, clock, sent, driver, receive, waitForMessages} = await startFollower(t);
	disk.isBusy = true;
	receive();
	await delay(0);
	driver.push({type: 'tick'});
	receive();
	clock.time = 60_000;
	disk.isBusy = false;
	disk.goOn();
	await waitForMessages(2);
	t.deepEqual(sent.map(({type}) => type), ['append-reply', 'append-reply']);
});

/** Makes a follower of term 1 whose disk is busy with an entry. */
async function startWritingFollower(t: ExecutionContext) {
	const started = await startFollower(t);
	const {disk, sent, receive, waitForMessages} = started;
	receive();
	await waitForMessages(1);
	disk.isBusy = true;
	receive({entries: [{index: 1, term: 1, payload: {type: 'empty'}}], round: 2});
	while (disk.goOn === idle) {
		await delay(0);
	}

	t.is(sent.length, 1);
	return started;
}

test('a leader keeps its lease while a follower writes for two seconds', async t => {
	const {clock, sent, receive, self, leader: id} = await startWritingFollower(t);
	const grant = (isPreVote: boolean) => ({
		type: 'message', from: self, message: {
			type: 'vote-reply', term: 1, isPreVote, granted: true,
		},
	} as const);
	let leader = createReplica({id, replicas: {voters: [id, self], learners: []}, seed: 1}, -10_000);
	for (const event of [{type: 'tick'}, grant(true), grant(false)] as const) {
		leader = step(leader, event, 0).state;
	}

	for (clock.time = 100; clock.time <= 2000; clock.time += 100) {
		const {state, actions: {messages}} = step(leader, {type: 'tick'}, clock.time);
		leader = state;
		for (const {message} of messages) {
			const answered = sent.length;
			receive(message as AppendRequest);
			for (const reply of sent.slice(answered)) {
				leader = step(leader, {type: 'message', from: self, message: reply}, clock.time).state;
			}
		}
	}

	t.true(isLeader(leader));
	t.true((leaseValidUntil(leader) ?? 0) > clock.time);
	t.is(leader.commitIndex, 0);
});

test('a reply sent while the disk is busy acknowledges no entry, and the replies after the write do', async t => {
	const {disk, sent, receive, waitForMessages} = await startWritingFollower(t);
	receive({previousIndex: 1, previousTerm: 1, round: 3});
	t.deepEqual(sent.slice(1), [{
		type: 'append-reply', term: 1, success: true, matchIndex: 0, round: 3,
	}]);
	disk.isBusy = false;
	disk.goOn();
	await waitForMessages(4);
	t.deepEqual(sent.slice(2), [2, 3].map(round => ({
		type: 'append-reply', term: 1, success: true, matchIndex: 1, round,
	})));
});

test('a leader of a new term gets no reply before the term is on disk', async t => {
	const {disk, sent, receive, waitForMessages} = await startFollower(t);
	disk.isBusy = true;
	receive({term: 2});
	while (disk.goOn === idle) {
		await delay(0);
	}

	receive({term: 2});
	receive({term: 3});
	receive({term: 1});
	t.deepEqual(sent, []);
	disk.isBusy = false;
	disk.goOn();
	await waitForMessages(1);
	t.is((sent[0] as AppendReply).term, 2);
});
