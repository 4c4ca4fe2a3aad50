import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {type DecisionNote, DecisionNotes} from './decision-notes.js';

function note(at: number, kind = 'chosen'): DecisionNote {
	return {at, kind, server: 's1' as ServerId};
}

test('the notes of a request are kept in order, and only the last one is replaced beyond the limit', t => {
	const notes = new DecisionNotes({maximumNotes: 3});
	for (let at = 1; at <= 6; at++) {
		notes.record('a', note(at));
	}

	t.deepEqual(notes.get('a')?.map(({at}) => at), [1, 2, 6]);
	t.is(notes.get('b'), undefined);
});

test('the requests are bounded, and the oldest one is evicted first', t => {
	const notes = new DecisionNotes({capacity: 3});
	for (const request of ['a', 'b', 'c', 'a', 'd']) {
		notes.record(request, note(1));
	}

	t.is(notes.size, 3);
	t.deepEqual(['a', 'b', 'c', 'd'].map(request => notes.has(request)), [false, true, true, true]);
});

test('the sampled share of sends is sampled, none by default, and each request that has notes', t => {
	for (const [sampledShare, expected] of [[undefined, 0], [0, 0], [0.01, 10], [0.25, 250], [1, 1000]] as const) {
		const notes = new DecisionNotes(sampledShare === undefined ? {} : {sampledShare});
		let sampled = 0;
		for (let request = 0; request < 1000; request++) {
			sampled += notes.samples(String(request)) ? 1 : 0;
		}

		t.true(Math.abs(sampled - expected) <= 1);
		notes.record('held', note(1, 'held'));
		t.true(notes.samples('held'));
	}
});
