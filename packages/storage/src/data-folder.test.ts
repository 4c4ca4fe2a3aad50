import {Buffer} from 'node:buffer';
import path from 'node:path';
import {
	type LogEntry, type PersistAction, type Snapshot, toReplicaId,
} from '@valehitch/consensus';
import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {Right} from 'purify-ts';
import {
	type DataFolder, type FileSystem, openDataFolder, type WritableFile, type StoredState,
} from './mod.js';

const seed = 20_241;
const folder = '/data';
const replicas = {voters: [toReplicaId('entry-1', 'one')], learners: []};

type MemoryFile = {data: Uint8Array; synced: Uint8Array};

/** An in-memory file system that discards unsynced data on a crash and fails at a chosen operation. */
class MemoryFileSystem implements FileSystem {
	operationsUntilFailure = Number.POSITIVE_INFINITY;
	current = new Map<string, MemoryFile>();
	#durable = new Map<string, MemoryFile>();

	readonly createFolder = async () => {
		this.#countOperation('ENOSPC');
	};

	readonly list = async () => [...this.current.keys()].map(file => path.basename(file));
	readonly read = async (file: string) => Buffer.from(this.current.get(file)?.data ?? Buffer.alloc(0));
	readonly openForAppend = async (file: string) => this.#open(file);
	readonly create = async (file: string) => {
		this.#countOperation('ENOSPC');
		this.current.set(file, {data: Buffer.alloc(0), synced: Buffer.alloc(0)});
		return this.#open(file);
	};

	readonly rename = async (from: string, to: string) => {
		const node = this.current.get(from);
		this.current.delete(from);
		if (node !== undefined) {
			this.current.set(to, node);
		}
	};

	readonly remove = async (file: string) => {
		this.current.delete(file);
	};

	readonly syncFolder = async () => {
		this.#countOperation('EIO');
		this.#durable = new Map(this.current);
	};

	/** Returns the state after a power loss, in which the fraction `kept` of each file's unsynced bytes survives. Of the files that were created, renamed or removed since their folder was synced, `keepsName` decides by position which ones are as they were before the loss. */
	crash({kept, keepsName}: {readonly kept: number; readonly keepsName: (position: number) => boolean}): MemoryFileSystem {
		const after = new MemoryFileSystem();
		const names = new Set([...this.current.keys(), ...this.#durable.keys()]);
		const changed = [...names].filter(file => this.current.get(file) !== this.#durable.get(file));
		for (const file of names) {
			const position = changed.indexOf(file);
			const node = position === -1 || keepsName(position) ? this.current.get(file) : this.#durable.get(file);
			if (node === undefined) {
				continue;
			}

			const {data, synced} = node;
			const length = synced.length + Math.floor((data.length - synced.length) * kept);
			const rest = Buffer.from(data.subarray(0, length));
			after.current.set(file, {data: rest, synced: rest});
		}

		after.#durable = new Map(after.current);
		return after;
	}

	copy(): MemoryFileSystem {
		return this.crash({kept: 1, keepsName: () => true});
	}

	#open(file: string): WritableFile {
		const node = this.current.get(file) ?? {data: Buffer.alloc(0), synced: Buffer.alloc(0)};
		this.current.set(file, node);
		return {
			append: async data => {
				const isFull = this.operationsUntilFailure <= 1;
				node.data = Buffer.concat([node.data, isFull ? data.subarray(0, data.length / 2) : data]);
				this.#countOperation('ENOSPC');
			},
			async truncate(length) {
				node.data = node.data.subarray(0, length);
			},
			sync: async () => {
				this.#countOperation('EIO');
				node.synced = node.data;
			},
			async close() {
				// In-memory files need no closing.
			},
		};
	}

	#countOperation(code: string): void {
		this.operationsUntilFailure--;
		if (this.operationsUntilFailure <= 0) {
			throw new Error(`${code}: injected`);
		}
	}
}

async function openFolder(files: MemoryFileSystem, segmentBytes = 256) {
	return openDataFolder(folder, {
		fileSystem: files, segmentBytes, lock: async () => Right(async () => undefined), generateIdentity: () => 'one',
	});
}

async function openOrThrow(files: MemoryFileSystem, segmentBytes?: number): Promise<DataFolder> {
	const opened = await openFolder(files, segmentBytes);
	return opened.mapLeft(({message}) => {
		throw new Error(message);
	}).unsafeCoerce();
}

async function readStoredState(files: MemoryFileSystem): Promise<StoredState> {
	const opened = await openOrThrow(files);
	return opened.takeStoredState();
}

function entry(index: number, term = 1): LogEntry {
	return {index, term, payload: {type: 'command', data: Buffer.from(`command ${index} of term ${term}`)}};
}

function batch(entries: readonly LogEntry[], snapshot?: Snapshot, discardsLog = false): PersistAction {
	return {
		hardState: {term: entries.at(-1)?.term ?? 1, votedFor: replicas.voters[0]}, entries, snapshot, discardsLog,
	};
}

function snapshotAt(lastIndex: number, lastTerm = 1): Snapshot {
	return {
		lastIndex, lastTerm, replicas, data: Buffer.from(`state at ${lastIndex} of term ${lastTerm}`),
	};
}

async function createFilledFolder(count: number, segmentBytes?: number): Promise<MemoryFileSystem> {
	const files = new MemoryFileSystem();
	const opened = await openOrThrow(files, segmentBytes);
	for (let index = 1; index <= count; index++) {
		const written = await opened.persist(batch([entry(index)]));
		written.unsafeCoerce();
	}

	await opened.close();
	return files;
}

async function readEntryIndexes(files: MemoryFileSystem): Promise<readonly number[] | string> {
	const opened = await openFolder(files);
	return opened.caseOf<readonly number[] | string>({
		Left: ({message}) => message,
		Right: found => found.takeStoredState().entries.map(({index}) => index),
	});
}

function listSegments(files: MemoryFileSystem): readonly string[] {
	return [...files.current.keys()].filter(file => file.endsWith('.segment')).toSorted((left, right) => left.localeCompare(right));
}

function readData(files: MemoryFileSystem, file: string): Uint8Array {
	return files.current.get(file)?.data ?? new Uint8Array();
}

function writeSynced(files: MemoryFileSystem, {file, data}: {readonly file: string; readonly data: Uint8Array}): void {
	files.current.set(file, {data, synced: data});
}

test('an empty folder gets an identity that persists', async t => {
	const files = new MemoryFileSystem();
	const first = await readStoredState(files);
	t.like(first, {
		identity: 'one', isNew: true, hardState: {term: 0}, snapshot: undefined,
	});
	const second = await openOrThrow(files);
	t.like(second.takeStoredState(), {identity: 'one', isNew: false});
	t.throws(() => second.takeStoredState(), {instanceOf: RangeError});
});

test('a torn write at any byte of the last record loses only that record', async t => {
	const files = await createFilledFolder(3, 100_000);
	const [file = ''] = listSegments(files);
	const whole = readData(files, file);
	const without = readData(await createFilledFolder(2, 100_000), file).length;
	for (let length = without; length <= whole.length; length++) {
		for (const fill of [0, 40]) {
			const torn = files.copy();
			// If the file's length was updated before its data was written, the tail reads as zeros.
			writeSynced(torn, {file, data: Buffer.concat([whole.subarray(0, length), Buffer.alloc(length === without ? fill : 0)])});
			t.deepEqual(await readEntryIndexes(torn), length === whole.length ? [1, 2, 3] : [1, 2], `torn at ${length}`);
			t.deepEqual(await readEntryIndexes(torn), length === whole.length ? [1, 2, 3] : [1, 2], 'the second start');
		}
	}
});

test('a seal whose bytes were not written before a power loss is no damage', async t => {
	const sealBytes = 25;
	const files = await createFilledFolder(12);
	const [file = ''] = listSegments(files);
	const sealed = readData(files, file);
	for (let length = 1; length <= sealBytes; length++) {
		const torn = files.copy();
		const unsealed = sealed.subarray(0, -sealBytes);
		writeSynced(torn, {file, data: Buffer.concat([unsealed, Buffer.alloc(length)])});
		t.deepEqual(await readEntryIndexes(torn), Array.from({length: 12}, (_, index) => index + 1), `${length} zeros`);
	}
});

test('a flipped bit at any position is either reported with the file name or has no effect', async t => {
	const files = await createFilledFolder(8);
	t.true(listSegments(files).length > 2);
	for (const file of files.current.keys()) {
		const whole = readData(files, file);
		for (let offset = 0; offset < whole.length; offset++) {
			const flipped = files.copy();
			const data = Buffer.from(whole);
			const byte = data.readUInt8(offset);
			data.writeUInt8(byte % 2 === 0 ? byte + 1 : byte - 1, offset);
			writeSynced(flipped, {file, data});
			const found = await readEntryIndexes(flipped);
			if (typeof found === 'string') {
				t.true(found.includes(file) || found.includes('of folder one'));
			} else {
				t.deepEqual(found, [1, 2, 3, 4, 5, 6, 7, 8], `${file} at ${offset}`);
			}
		}
	}
});

test('a missing segment is reported', async t => {
	const files = await createFilledFolder(12);
	for (const file of listSegments(files).slice(0, -1)) {
		const without = files.copy();
		without.current.delete(file);
		t.regex(String(await readEntryIndexes(without)), /log-\d{16}\.segment is missing|starts after entry/v);
	}

	const withoutLast = files.copy();
	withoutLast.current.delete(listSegments(withoutLast).at(-1) ?? '');
	t.regex(String(await readEntryIndexes(withoutLast)), /log-\d{16}\.segment is missing/v);
});

test('a torn record in a segment other than the last is reported with file and offset', async t => {
	const files = await createFilledFolder(12);
	const [file = ''] = listSegments(files);
	writeSynced(files, {file, data: readData(files, file).subarray(0, -40)});
	const opened = await openFolder(files);
	t.like(opened.swap().unsafeCoerce(), {kind: 'internal', details: {file}});
});

test('a snapshot removes the segments it covers and the previous snapshot', async t => {
	const files = await createFilledFolder(20);
	const before = listSegments(files).length;
	const opened = await openOrThrow(files);
	await opened.persist(batch([], snapshotAt(10)));
	await opened.persist(batch([entry(21)], snapshotAt(18)));
	await opened.close();
	t.true(listSegments(files).length < before / 2);
	t.deepEqual([...files.current.keys()].filter(file => file.endsWith('.snapshot')), [`${folder}/state-0000000000000018.snapshot`]);
	const stored = await readStoredState(files);
	t.is(stored.snapshot?.lastIndex, 18);
	t.deepEqual(stored.entries.map(({index}) => index), [19, 20, 21]);
});

test('a power loss that brings back some of the removed segments loses nothing', async t => {
	for (const installs of [false, true]) {
		const files = await createFilledFolder(20);
		const removable = files.current.size;
		const opened = await openOrThrow(files);
		await opened.persist(batch([], snapshotAt(18, installs ? 2 : 1), installs));
		await opened.close();
		for (let restored = 0; restored <= removable; restored++) {
			const after = files.crash({kept: 0, keepsName: position => position !== restored});
			const stored = await readStoredState(after);
			t.is(stored.snapshot?.lastIndex, 18);
			t.deepEqual(stored.entries.map(({index}) => index), installs ? [] : [19, 20], `restored ${restored}`);
			t.deepEqual(await readEntryIndexes(after), installs ? [] : [19, 20], 'the second start');
		}
	}
});

test('a damaged snapshot is skipped only if the log still covers its entries', async t => {
	const files = await createFilledFolder(12);
	const opened = await openOrThrow(files);
	await opened.persist(batch([], snapshotAt(4)));
	await opened.close();
	const earlier = files.copy();
	writeSynced(earlier, {file: `${folder}/state-0000000000000009.snapshot`, data: Buffer.from('not a snapshot')});
	const again = await openOrThrow(earlier.copy());
	t.is(again.takeStoredState().snapshot?.lastIndex, 4);
	t.regex(again.warnings.join(','), /Fell back/v);
	writeSynced(earlier, {file: `${folder}/state-0000000000000040.snapshot`, data: Buffer.from('not a snapshot')});
	t.regex(String(await readEntryIndexes(earlier)), /damaged snapshot/v);
});

test('the initial snapshot, whose replica set is in no entry, is durable once it is acknowledged', async t => {
	const files = new MemoryFileSystem();
	const opened = await openOrThrow(files);
	const written = await opened.persist(batch([entry(1)], snapshotAt(0, 0)));
	t.true(written.isRight());
	const stored = await readStoredState(files.crash({kept: 0, keepsName: () => false}));
	t.deepEqual(stored.snapshot?.replicas, replicas);
	t.deepEqual(stored.entries.map(({index}) => index), [1]);
});

test('after a full disk or a failed sync every later write fails and no acknowledged write is lost', async t => {
	for (let failsAfter = 1; failsAfter < 60; failsAfter++) {
		const files = new MemoryFileSystem();
		const opened = await openOrThrow(files);
		files.operationsUntilFailure = failsAfter;
		const {acknowledged, failures} = await writeUntilFailure(opened);
		files.operationsUntilFailure = Number.POSITIVE_INFINITY;
		t.regex(failures[0] ?? '', /ENOSPC|EIO/v);
		t.is(failures[1], failures[0], 'the folder stays failed after the disk recovers');
		for (const kept of [0, 0.5, 1]) {
			const stored = await readStoredState(files.crash({kept, keepsName: () => kept > 0}));
			const last = stored.entries.at(-1)?.index ?? stored.snapshot?.lastIndex ?? 0;
			t.true(last >= acknowledged, `failed after ${failsAfter}: the last entry is ${last}, expected at least ${acknowledged}`);
		}
	}
});

async function writeUntilFailure(opened: DataFolder) {
	const failures: string[] = [];
	let acknowledged = 0;
	for (let index = 1; failures.length < 2; index++) {
		const written = await opened.persist(batch([entry(acknowledged + 1)], index % 5 === 0 ? snapshotAt(acknowledged) : undefined));
		acknowledged += written.isRight() ? 1 : 0;
		failures.push(...written.swap().map(({message}) => [message]).orDefault([]));
	}

	return {acknowledged, failures};
}

type Write = {readonly type: 'write'; readonly count: number; readonly back: number};
type Operation
	= | Write
		| {readonly type: 'snapshot'; readonly back: number}
		| {readonly type: 'install'; readonly ahead: number}
		| {readonly type: 'crash'; readonly kept: number; readonly keptNames: readonly boolean[]; readonly failsAfter: number};

const operations: fc.Arbitrary<Operation> = fc.oneof(
	{weight: 6, arbitrary: fc.record({type: fc.constant('write' as const), count: fc.integer({min: 1, max: 5}), back: fc.integer({min: 0, max: 3})})},
	fc.record({type: fc.constant('snapshot' as const), back: fc.integer({min: 0, max: 4})}),
	fc.record({type: fc.constant('install' as const), ahead: fc.integer({min: -2, max: 9})}),
	fc.record({
		type: fc.constant('crash' as const), kept: fc.constantFrom(0, 0.3, 0.9, 1), keptNames: fc.array(fc.boolean(), {minLength: 1, maxLength: 6}), failsAfter: fc.integer({min: 1, max: 40}),
	}),
);

/** A reference model of the folder's content: a snapshot and the entries after it. */
class ReferenceModel {
	term = 1;
	snapshot: Snapshot | undefined;
	entries: LogEntry[] = [];

	get base(): number {
		return this.snapshot?.lastIndex ?? 0;
	}

	get last(): number {
		return this.entries.at(-1)?.index ?? this.base;
	}

	/** Converts an operation into the write to perform; `apply` updates the model with it. */
	nextAction(operation: Exclude<Operation, {type: 'crash'}>): PersistAction {
		if (operation.type === 'write') {
			return batch(this.#nextEntries(operation));
		}

		this.term++;
		return operation.type === 'snapshot'
			? batch([], this.#snapshotOfEntry(this.last - operation.back))
			: batch([], snapshotAt(Math.max(this.base + 1, this.last + operation.ahead), this.term), true);
	}

	apply({entries, snapshot, discardsLog}: PersistAction): void {
		for (const taken of entries) {
			this.entries = [...this.entries.filter(({index}) => index < taken.index), taken];
		}

		// A snapshot of entries in the log is written in the background, so the entries are kept.
		if (snapshot !== undefined && snapshot.lastIndex >= this.base) {
			this.entries = discardsLog ? [] : this.entries;
			this.snapshot = snapshot;
		}
	}

	#nextEntries({count, back}: Write): readonly LogEntry[] {
		const first = Math.max(this.base + 1, this.last + 1 - back);
		this.term += back === 0 ? 0 : 1;
		return Array.from({length: count}, (_, offset) => entry(first + offset, this.term));
	}

	#snapshotOfEntry(index: number): Snapshot | undefined {
		const found = this.entries.find(candidate => candidate.index === index);
		return found === undefined ? undefined : snapshotAt(index, found.term);
	}
}

testProp('acknowledged writes survive any crash', [fc.array(operations, {minLength: 4, maxLength: 30})], async (t, plan) => {
	let files = new MemoryFileSystem();
	let opened = await openOrThrow(files);
	const model = new ReferenceModel();
	let unacknowledged: PersistAction | undefined;
	for (const operation of plan) {
		if (operation.type !== 'crash') {
			const action = model.nextAction(operation);
			const written = await opened.persist(action);
			if (written.isRight()) {
				model.apply(action);
			} else {
				unacknowledged ??= action;
			}

			continue;
		}

		const {kept, keptNames, failsAfter} = operation;
		files = files.crash({kept, keepsName: position => keptNames[position % keptNames.length] === true});
		opened = await openOrThrow(files);
		const stored = opened.takeStoredState();
		assertStoredState(model, {stored, unacknowledged});
		model.entries = [...stored.entries];
		model.snapshot = stored.snapshot;
		unacknowledged = undefined;
		files.operationsUntilFailure = failsAfter;
	}

	t.pass();
}, {seed, numRuns: 600});

/** Checks that the folder contains the acknowledged entries, with or without the failed write; a background snapshot may or may not be complete. */
function assertStoredState(model: ReferenceModel, {stored, unacknowledged}: {readonly stored: StoredState; readonly unacknowledged: PersistAction | undefined}): void {
	const expected = [describe(model, stored.snapshot)];
	if (unacknowledged !== undefined) {
		const alternative = new ReferenceModel();
		Object.assign(alternative, {snapshot: model.snapshot, entries: model.entries});
		alternative.apply({...unacknowledged, snapshot: undefined});
		expected.push(describe(alternative, stored.snapshot));
		alternative.apply(unacknowledged);
		expected.push(describe(alternative, stored.snapshot));
	}

	const found = JSON.stringify(stored.entries.map(({index, term}) => [index, term]));
	if (!expected.includes(found)) {
		throw new Error(`Found ${found} after snapshot ${stored.snapshot?.lastIndex ?? 0}, expected ${expected.join(' or ')}`);
	}
}

function describe({entries}: ReferenceModel, snapshot: Snapshot | undefined): string {
	return JSON.stringify(entries.filter(({index}) => index > (snapshot?.lastIndex ?? 0)).map(({index, term}) => [index, term]));
}
