import test from 'ava';
import {LatencyBook} from './latency-book.js';

test('a time that was slow fades where nothing is sent any more, so that it is tried again', t => {
	let now = 0;
	const book = new LatencyBook({monotonic: () => now});
	t.is(book.expected('large', 500), 500);
	book.note('large', 100);
	for (let answer = 0; answer < 60; answer++) {
		book.note('large', 2100);
	}

	t.true(book.expected('large', 500) > 1900);
	now = 2000;
	t.true(book.expected('large', 500) < 1200);
	now = 20_000;
	t.true(book.expected('large', 500) < 300);
});
