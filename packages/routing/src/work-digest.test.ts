import {type InstanceId, type ServerId} from '@valehitch/core';
import test from 'ava';
import {WorkDigest} from './work-digest.js';
import {workExpiryMilliseconds} from './work-parts.js';
import {type WorkPart} from './work-row.js';

const [first, second, control] = ['entry-1', 'entry-2', 'control-2'] as InstanceId[] as [InstanceId, InstanceId, InstanceId];
const server = 'server-1' as ServerId;

function report(sequence: number, {reading = 0, run = 'one'} = {}): WorkPart {
	return {
		run, sequence, rows: reading === 0 ? [] : [[server, reading, 1, 20, 10]], held: reading === 0 ? [] : [{priority: 0, milliseconds: reading}],
	};
}

test('an instance is told the work of all others, but not its own', t => {
	const digest = new WorkDigest();
	digest.receiveReport(first, report(1, {reading: 100}), 0);
	digest.receiveReport(second, report(1, {reading: 30}), 0);
	digest.receiveSummary(control, {...report(1, {reading: 500}), entries: 3, age: 200}, 0);
	t.deepEqual(digest.others(first, 100), {
		rows: [[server, 530, 2, 40, 20]], held: [{priority: 0, milliseconds: 530}], entries: 5, age: 220,
	});
	t.deepEqual(digest.others(control, 0).rows, [[server, 630, 3, 60, 30]]);
	t.deepEqual(digest.summary(0).rows, [[server, 130, 2, 40, 20]], 'a summary does not pass on those of others');
});

test('repeated and reordered reports change nothing', t => {
	const digest = new WorkDigest();
	digest.receiveReport(first, report(2, {reading: 100}), 0);
	digest.receiveReport(first, report(2, {reading: 100}), 10);
	digest.receiveReport(first, report(1, {reading: 900}), 20);
	t.deepEqual(digest.others(second, 20).rows, [[server, 100, 1, 20, 10]]);
	t.is(digest.others(second, 20).age, 20);
	digest.receiveReport(first, report(3), 30);
	t.deepEqual(digest.others(second, 30), {
		rows: [], held: [], entries: 0, age: 0,
	});
});

test('the report of a restarted process replaces that of its former run', t => {
	const digest = new WorkDigest();
	digest.receiveReport(first, report(9, {reading: 100}), 0);
	digest.receiveReport(first, report(1, {reading: 40, run: 'two'}), 10);
	t.deepEqual(digest.others(second, 10).rows, [[server, 40, 1, 20, 10]]);
});

test('the work of silent entry and control instances no longer counts after 1.5 s', t => {
	const digest = new WorkDigest();
	digest.receiveReport(first, report(1, {reading: 100}), 0);
	digest.receiveSummary(control, report(1, {reading: 500}), 1000);
	t.is(digest.others(second, workExpiryMilliseconds).rows[0]?.[1], 600);
	t.is(digest.others(second, workExpiryMilliseconds + 1).rows[0]?.[1], 500);
	t.deepEqual(digest.others(second, 1000 + workExpiryMilliseconds + 1).rows, []);
	digest.receiveReport(first, report(2, {reading: 100}), 3000);
	t.is(digest.others(second, 3000).rows[0]?.[1], 100);
});
