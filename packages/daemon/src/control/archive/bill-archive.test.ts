import {
	appendFile, mkdtemp, readdir, rm,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {
	type Bill, type InstanceId, type Micros, type RequestId, toId, type WorkspaceId,
} from '@valehitch/core';
import {Right} from 'purify-ts';
import {createBillChunk} from './bill-chunk.js';
import {BillArchive} from './bill-archive.js';
import {fillGap, type FillGapOptions} from './fill-gap.js';

const createBill = (position: number): Bill => ({
	workspace: toId<WorkspaceId>(`w${position % 2}`),
	request: toId<RequestId>(`r${position}`),
	instance: toId<InstanceId>('i'), lines: [], total: 1 as Micros, outcome: 'answered', settledAt: position,
});
const createPage = (first: number, last: number) => ({firstPosition: first, bills: Array.from({length: last - first + 1}, (_, index) => createBill(first + index))});

test('bills are read in pages after a restart, an incomplete last line is truncated, and bills that are already archived are ignored', async t => {
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-bills-'));
	t.teardown(async () => rm(folder, {recursive: true}));
	const archive = await BillArchive.open(folder);
	t.is(archive.last, 0);
	await archive.append(createPage(1, 30));
	await archive.append(createPage(1, 40));
	const [name = ''] = await readdir(folder);
	await appendFile(path.join(folder, name), '{"position":41,"bi');

	const reopened = await BillArchive.open(folder);
	t.is(reopened.last, 40);
	await reopened.append(createPage(41, 50));
	// A replica that installed a snapshot has none of the bills that were archived before it.
	await reopened.append(createPage(61, 70));
	const requests: string[] = [];
	for (let after = 0; after < reopened.last;) {
		const {bills, next = reopened.last} = await reopened.read({workspace: 'w1', after, limit: 7});
		requests.push(...bills.map(({request}) => request));
		after = next;
	}

	const expected = [...createPage(1, 50).bills, ...createPage(61, 70).bills].filter(({workspace}) => workspace === 'w1');
	t.deepEqual(requests, expected.map(({request}) => request as string));
});

test('a gap is filled in chunks from another archive, also across a restart, and damaged chunks are rejected', async t => {
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-bills-'));
	t.teardown(async () => rm(folder, {recursive: true}));
	const source = await BillArchive.open(path.join(folder, 'source'));
	await source.append(createPage(1, 95));
	const targetFolder = path.join(folder, 'target');
	const target = await BillArchive.open(targetFolder);
	await target.append(createPage(71, 100));
	const errors: string[] = [];
	const options: FillGapOptions = {
		before: 101,
		sources: [
			async () => Right({lines: '{"position":1,"bill":{}}\n', digest: 'wrong'}),
			async (first: number) => Right(createBillChunk(await source.readLines({first, bytes: 2000}))),
		],
		onInvalidChunk(error: Error) {
			errors.push(error.message);
		},
	};
	t.deepEqual(target.gapBefore(101), {first: 1, last: 70});
	t.is(await fillGap(target, options), 'progress');
	const reopened = await BillArchive.open(targetFolder);
	let chunkCount = 1;
	while (await fillGap(reopened, options) === 'progress') {
		chunkCount++;
	}

	t.true(chunkCount > 3);
	t.is(errors.length, chunkCount);
	t.is(reopened.gapBefore(101), undefined);
	const read = await reopened.read({workspace: undefined, after: 0, limit: 1000});
	t.deepEqual(read.bills.map(({request}) => request), createPage(1, 100).bills.map(({request}) => request));
	t.is(await fillGap(reopened, {...options, before: 102, sources: []}), 'stuck');
});

test('bills that are archived while a page is read appear on the next page, and none is skipped', async t => {
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-bills-'));
	t.teardown(async () => rm(folder, {recursive: true}));
	const archive = await BillArchive.open(folder);
	await archive.append(createPage(1, 2000));
	for (let last = 2000; last < 2400; last += 10) {
		const [{bills, next = 0}] = await Promise.all([
			archive.read({workspace: undefined, after: last - 1000, limit: 5000}),
			archive.append(createPage(last + 1, last + 10)),
		]);
		t.is(bills.length, next - (last - 1000));
	}
});

test('bills that operators removed are not reported as a gap', async t => {
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-bills-'));
	t.teardown(async () => rm(folder, {recursive: true}));
	const archive = await BillArchive.open(folder, 31);
	t.is(archive.gapBefore(31), undefined);
	t.deepEqual(archive.gapBefore(61), {first: 31, last: 60});
	await archive.append(createPage(51, 60));
	t.deepEqual(archive.gapBefore(61), {first: 31, last: 50});
	await archive.fill(createPage(31, 50), {first: 31, last: 50});
	t.is(archive.gapBefore(61), undefined);
	const {bills, next} = await archive.read({workspace: undefined, after: 0, limit: 100});
	t.is(bills.length, 30);
	t.is(next, 60);
	const reopened = await BillArchive.open(folder, 41);
	t.is(reopened.gapBefore(61), undefined);
});
