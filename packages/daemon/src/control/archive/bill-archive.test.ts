import {
	appendFile, mkdtemp, readdir, rm,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {
	type Bill, type InstanceId, type Micros, type RequestId, toId, type WorkspaceId,
} from '@valehitch/core';
import {BillArchive} from './bill-archive.js';

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
