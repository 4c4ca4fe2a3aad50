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

test('others are told of a request that was cleared before this book was filled', t => {
	const cleared = new SuspectBook();
	for (const process of ['a', 'b', 'c']) {
		cleared.noteEnd(fingerprint, {process, at: 0});
	}

	const other = new SuspectBook();
	other.merge(cleared.records);
	cleared.clear(fingerprint);
	const restored = new SuspectBook();
	restored.merge(cleared.records);
	other.merge(restored.told);
	t.is(other.standing(fingerprint, 0), 'unknown');
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

/** The same numbers each time, from 0 to 1 (Park and Miller, 1988). */
function repeatedRandom(): () => number {
	let state = 1;
	return () => {
		state = state * 48_271 % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

/** The requests that a server had when it ended in a deployment of 18 engines: at most. */
const requestsPerServer = 18;

/** The share of the requests beside a deadly one that are refused with it, over many deadly ones; each is sent on at random as long as its servers end. */
function refusedBesideDeadly(servers: number): number {
	const random = repeatedRandom();
	const waves = 2000;
	let refused = 0;
	for (let wave = 0; wave < waves; wave++) {
		const book = new SuspectBook();
		let beside = Array.from({length: requestsPerServer}, (_, index) => `beside ${index}` as RequestFingerprint);
		for (let end = 0; end < 3; end++) {
			const deadlyAt = Math.floor(random() * servers);
			// All of them are at the first server; those that are not at the next one are answered there.
			beside = beside.filter(() => end === 0 || Math.floor(random() * servers) === deadlyAt);
			for (const known of [fingerprint, ...beside]) {
				book.noteEnd(known, {process: `${end}`, at: start});
			}
		}

		refused += book.records.filter(record => record.fingerprint !== fingerprint && book.standing(record.fingerprint, start) === 'quarantined').length;
	}

	return refused / (waves * requestsPerServer);
}

for (const {instances, servers} of [{instances: 7, servers: 18}, {instances: 195, servers: 600}]) {
	test(`with ${instances} instances and ${servers} servers, under one in a hundred of the requests beside a deadly one is refused with it`, t => {
		t.true(refusedBesideDeadly(servers) < 0.01);
	});

	test(`with ${instances} instances and ${servers} servers, a zone of servers that ends at once refuses no request, and other instances hear of none`, t => {
		const book = new SuspectBook({capacity: servers * requestsPerServer});
		for (let server = 0; server < servers / 3; server++) {
			for (let request = 0; request < requestsPerServer; request++) {
				book.noteEnd(`${server} ${request}` as RequestFingerprint, {process: `${server}`, at: start});
			}
		}

		t.true(book.records.every(record => book.standing(record.fingerprint, start) === 'suspect'));
		t.deepEqual(book.told, []);
	});
}

test('a request that many ask at the same time is refused while a zone of its servers is gone only until one of the others has answered it', t => {
	const book = bookWith(['a', 'b', 'c', 'd']);
	t.is(book.standing(fingerprint, start), 'quarantined');
	book.clear(fingerprint);
	t.is(book.standing(fingerprint, start), 'unknown');
});
