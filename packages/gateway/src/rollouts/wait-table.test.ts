import test from 'ava';
import {
	addWaits, emptyWaitTable, recordWait, waitIntervalOf,
} from './wait-table.js';

test('a wait that is counted in parts counts like one that is counted at once', t => {
	const end = waitIntervalOf(700);
	const reached = waitIntervalOf(100);
	const inParts = recordWait(recordWait(emptyWaitTable, {first: 0, end: reached, isAnswered: false}), {first: reached, end, isAnswered: true});
	t.deepEqual(inParts, recordWait(emptyWaitTable, {first: 0, end, isAnswered: true}));
	t.is(inParts.exposed.filter(count => count === 1).length, end + 1);
	t.is(inParts.answered[end], 1);
});

test('a send without an answer counts in the intervals that it has waited through only', t => {
	const end = waitIntervalOf(700);
	const {exposed, answered} = recordWait(emptyWaitTable, {first: 0, end, isAnswered: false});
	t.is(exposed[end - 1], 1);
	t.is(exposed[end], 0);
	t.deepEqual(answered, emptyWaitTable.answered);
});

test('each interval ends at 1.4 times the time of the one before, and the last one has no end', t => {
	t.is(waitIntervalOf(0), 0);
	t.is(waitIntervalOf(200) - waitIntervalOf(100), 2);
	t.is(waitIntervalOf(1e9), emptyWaitTable.exposed.length - 1);
});

test('the waits of several instances add up', t => {
	const wait = recordWait(emptyWaitTable, {first: 0, end: 3, isAnswered: true});
	t.deepEqual(addWaits(wait, wait), recordWait(wait, {first: 0, end: 3, isAnswered: true}));
});
