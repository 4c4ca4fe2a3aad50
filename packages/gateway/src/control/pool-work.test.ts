import {type InstanceId, type ServerId} from '@valehitch/core';
import test from 'ava';
import {type WorkReportMessage, type WorkSummaryMessage} from './peer-message.js';
import {PoolWork} from './pool-work.js';

const [entry, updated, outdated] = ['10.0.0.1', '10.2.0.2', '10.2.0.3'] as InstanceId[] as [InstanceId, InstanceId, InstanceId];

function createWork({isAnswering = true} = {}) {
	const sent: Array<readonly [InstanceId, WorkSummaryMessage]> = [];
	const work = new PoolWork({
		clock: {monotonic: () => 0},
		run: 'one',
		others: () => [updated, outdated],
		async ask(to, message) {
			sent.push([to, message]);
			return isAnswering ? true : undefined;
		},
	});
	work.summaryReaders.record(updated, {canRead: true});
	return {work, sent};
}

function report(sequence: number, {isIdle = false} = {}): WorkReportMessage {
	return {
		type: 'work-report', run: 'one', sequence, rows: isIdle ? [] : [['server-1' as ServerId, 100, 1, 0, 0]], held: [],
	};
}

test('control instances of the version before get no summaries', t => {
	const {work, sent} = createWork();
	work.answer(entry, report(1));
	work.sendSummaries();
	t.deepEqual(sent.map(([to]) => to), [updated]);
});

test('summaries are sent while there is work, and once that there is none', t => {
	const {work, sent} = createWork();
	work.sendSummaries();
	t.is(sent.length, 0);
	work.answer(entry, report(1));
	work.sendSummaries();
	work.sendSummaries();
	work.answer(entry, report(2, {isIdle: true}));
	work.sendSummaries();
	work.sendSummaries();
	t.deepEqual(sent.map(([, {sequence, rows}]) => [sequence, rows.length]), [[1, 1], [2, 1], [3, 0]]);
});

test('a control instance that does not acknowledge a summary gets none until it says again that it reads them', async t => {
	const {work, sent} = createWork({isAnswering: false});
	work.answer(entry, report(1));
	work.sendSummaries();
	await Promise.resolve();
	work.sendSummaries();
	t.is(sent.length, 1);
	work.summaryReaders.record(updated, {canRead: true});
	work.sendSummaries();
	t.is(sent.length, 2);
});
