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
import {sealPiece} from './archived-piece.js';
import {BillArchive} from './bill-archive.js';
import {fillGap} from './fill-gap.js';

const billOf = (position: number): Bill => ({
	workspace: toId<WorkspaceId>(`w${position % 2}`),
	request: toId<RequestId>(`r${position}`),
	instance: toId<InstanceId>('i'), lines: [], total: 1 as Micros, outcome: 'answered', settledAt: position,
});
const page = (first: number, last: number) => ({firstPosition: first, bills: Array.from({length: last - first + 1}, (_, index) => billOf(first + index))});

test('bills are read back in pages after a restart, a half-written line is cut, and what comes again is passed over', async t => {
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-bills-'));
	t.teardown(async () => rm(folder, {recursive: true}));
	const archive = await BillArchive.open(folder);
	t.is(archive.last, 0);
	await archive.append(page(1, 30));
	await archive.append(page(1, 40));
	const [name = ''] = await readdir(folder);
	await appendFile(path.join(folder, name), '{"position":41,"bi');

	const again = await BillArchive.open(folder);
	t.is(again.last, 40);
	await again.append(page(41, 50));
	// A replica that got a snapshot lacks what was archived before.
	await again.append(page(61, 70));
	const requests: string[] = [];
	for (let after = 0; after < again.last;) {
		const {bills, next = again.last} = await again.read({workspace: 'w1', after, limit: 7});
		requests.push(...bills.map(({request}) => request));
		after = next;
	}

	const expected = [...page(1, 50).bills, ...page(61, 70).bills].filter(({workspace}) => workspace === 'w1');
	t.deepEqual(requests, expected.map(({request}) => request as string));
});

test('a gap is filled in pieces from another archive, also over a restart, and damaged pieces are refused', async t => {
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-bills-'));
	t.teardown(async () => rm(folder, {recursive: true}));
	const source = await BillArchive.open(path.join(folder, 'source'));
	await source.append(page(1, 95));
	const place = path.join(folder, 'target');
	const target = await BillArchive.open(place);
	await target.append(page(71, 100));
	const damages: string[] = [];
	const options = {
		before: 101,
		sources: [
			async () => Right({lines: '{"position":1,"bill":{}}\n', digest: 'wrong'}),
			async (first: number) => Right(sealPiece(await source.readLines({first, bytes: 2000}))),
		],
		onDamage(error: Error) {
			damages.push(error.message);
		},
	};
	t.deepEqual(target.gapBefore(101), {first: 1, last: 70});
	t.is(await fillGap(target, options), 'progress');
	const again = await BillArchive.open(place);
	let pieces = 1;
	while (await fillGap(again, options) === 'progress') {
		pieces++;
	}

	t.true(pieces > 3);
	t.is(damages.length, pieces);
	t.is(again.gapBefore(101), undefined);
	const read = await again.read({workspace: undefined, after: 0, limit: 1000});
	t.deepEqual(read.bills.map(({request}) => request), page(1, 100).bills.map(({request}) => request));
	t.is(await fillGap(again, {...options, before: 102, sources: []}), 'stuck');
});

test('bills that are archived while a page is read come on the next page, none is left out', async t => {
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-bills-'));
	t.teardown(async () => rm(folder, {recursive: true}));
	const archive = await BillArchive.open(folder);
	await archive.append(page(1, 2000));
	for (let last = 2000; last < 2400; last += 10) {
		const [{bills, next = 0}] = await Promise.all([
			archive.read({workspace: undefined, after: last - 1000, limit: 5000}),
			archive.append(page(last + 1, last + 10)),
		]);
		t.is(bills.length, next - (last - 1000));
	}
});

test('bills that operators took away are no gap', async t => {
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-bills-'));
	t.teardown(async () => rm(folder, {recursive: true}));
	const archive = await BillArchive.open(folder, 31);
	t.is(archive.gapBefore(31), undefined);
	t.deepEqual(archive.gapBefore(61), {first: 31, last: 60});
	await archive.append(page(51, 60));
	t.deepEqual(archive.gapBefore(61), {first: 31, last: 50});
	await archive.fill(page(31, 50), {first: 31, last: 50});
	t.is(archive.gapBefore(61), undefined);
	const {bills, next} = await archive.read({workspace: undefined, after: 0, limit: 100});
	t.is(bills.length, 30);
	t.is(next, 60);
	const older = await BillArchive.open(folder, 41);
	t.is(older.gapBefore(61), undefined);
});
