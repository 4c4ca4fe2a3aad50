import {type RequestFingerprint} from '@valehitch/core';
import test from 'ava';
import {SuspectBook} from './suspect-book.js';

const fingerprint = 'f1' as RequestFingerprint;
const start = 1_700_000_000_000;
const minute = 60_000;

/** A book in which processes ended under a request, a second apart. */
function bookWith(processes: readonly string[], book = new SuspectBook()): SuspectBook {
	for (const [index, process] of processes.entries()) {
		book.noteEnd(fingerprint, {process, at: start + (index * 1000)});
	}

	return book;
}

test('a request is quarantined once three processes ended under it, and each process counts once', t => {
	const standings = [[], ['a'], ['a', 'a'], ['a', 'b'], ['a', 'b', 'a'], ['a', 'b', 'c']].map(processes => bookWith(processes).standing(fingerprint, start + minute));
	t.deepEqual(standings, ['unknown', 'suspect', 'suspect', 'doubtful', 'doubtful', 'quarantined']);
	t.is(bookWith(['a', 'b', 'c']).standing('f2' as RequestFingerprint, start), 'unknown');
});

test('a whole answer clears the ends before it, and none after it', t => {
	const book = bookWith(['a', 'b', 'c']);
	t.true(book.clear(fingerprint));
	t.false(book.clear(fingerprint));
	t.is(book.standing(fingerprint, start + minute), 'unknown');
	book.noteEnd(fingerprint, {process: 'd', at: start + minute});
	t.is(book.standing(fingerprint, start + minute), 'suspect');
	t.false(book.clear('f2' as RequestFingerprint));
});

test('books become alike by merging, in any order and as often as wanted', t => {
	const one = bookWith(['a', 'b']);
	const other = bookWith(['b', 'c']);
	other.clear(fingerprint);
	const third = bookWith(['d']);
	const [forth, back] = [new SuspectBook(), new SuspectBook()];
	for (const {records} of [one, other, third, one]) {
		forth.merge(records);
	}

	for (const {records} of [third, one, one, other]) {
		back.merge(records);
	}

	const ends = (book: SuspectBook) => book.get(fingerprint)?.ends.map(({process, isCleared}) => `${process} ${isCleared}`).toSorted();
	t.deepEqual(ends(forth), ['a false', 'b true', 'c true', 'd false']);
	t.deepEqual(ends(back), ends(forth));
	t.deepEqual(forth.merge(back.records), []);
});

test('others are told of a request with two ends, and of all that follows for it', t => {
	const book = bookWith(['a']);
	t.deepEqual(book.told, []);
	bookWith(['b'], book);
	const {cursor} = book;
	t.deepEqual(book.told.map(({ends}) => ends.length), [2]);
	t.deepEqual(book.changedSince(cursor), []);
	book.clear(fingerprint);
	t.deepEqual(book.changedSince(cursor).map(({ends}) => ends.every(({isCleared}) => isCleared)), [true]);
});

test('a quarantine ends after ten minutes, and one further end within the hour brings the next', t => {
	const book = bookWith(['a', 'b', 'c', 'd']);
	t.is(book.standing(fingerprint, start + (9 * minute)), 'quarantined');
	t.is(book.standing(fingerprint, start + (11 * minute)), 'doubtful');
	book.noteEnd(fingerprint, {process: 'e', at: start + (11 * minute)});
	t.is(book.standing(fingerprint, start + (11 * minute)), 'quarantined');
	t.is(book.standing(fingerprint, start + (22 * minute)), 'doubtful');
	t.is(book.standing(fingerprint, start + (72 * minute)), 'unknown');
	book.forget(start + (72 * minute));
	t.true(book.isEmpty);
});

test('a flood of new requests does not push out one that is proven', t => {
	const book = bookWith(['a', 'b', 'c'], new SuspectBook({capacity: 8}));
	for (let index = 0; index < 100; index++) {
		book.noteEnd(`other ${index}` as RequestFingerprint, {process: `p${index}`, at: start + minute});
	}

	t.is(book.records.length, 8);
	t.is(book.standing(fingerprint, start + minute), 'quarantined');
});

test('the ends that are held of one request are bounded, the newest stay', t => {
	const book = bookWith(Array.from({length: 40}, (_, index) => `p${index}`));
	t.is(book.get(fingerprint)?.ends.length, 8);
	t.is(book.get(fingerprint)?.ends.at(-1)?.process, 'p39');
	t.false(book.noteEnd(fingerprint, {process: 'p0', at: start}));
});
