import test from 'ava';
import {LatencyBook} from './latency-book.js';

test('a time that was slow fades where nothing is sent any more, so that it is tried again', t => {
	let now = 0;
	const book = new LatencyBook({monotonic: () => now});
	t.is(book.expected('large', {tokens: 0, fallback: 500}), 500);
	book.note('large', {milliseconds: 100, tokens: 0});
	for (let answer = 0; answer < 60; answer++) {
		book.note('large', {milliseconds: 2100, tokens: 0});
	}

	t.true(book.expected('large', {tokens: 0, fallback: 500}) > 1900);
	now = 2000;
	t.true(book.expected('large', {tokens: 0, fallback: 500}) < 1200);
	now = 20_000;
	t.true(book.expected('large', {tokens: 0, fallback: 500}) < 300);
});

test('a long prompt is expected to take longer than a short one, in proportion', t => {
	const book = new LatencyBook({monotonic: () => 0});
	for (let answer = 0; answer < 100; answer++) {
		book.note('large', {milliseconds: 400, tokens: 7000});
	}

	t.is(Math.round(book.expected('large', {tokens: 7000, fallback: 500})), 400);
	t.is(Math.round(book.expected('large', {tokens: 39_000, fallback: 500})), 2000);
	t.is(Math.round(book.expected('large', {tokens: 0, fallback: 500})), 50);
});
