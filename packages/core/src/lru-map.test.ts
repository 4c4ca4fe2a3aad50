import test from 'ava';
import {LruMap} from './lru-map.js';

test('the least recently used entry is evicted first', t => {
	const recent = new LruMap<string, number>(2);
	recent.set('a', 1);
	recent.set('b', 2);
	t.is(recent.getOrCreate('a', () => 0), 1);
	recent.set('c', 3);
	t.is(recent.size, 2);
	t.is(recent.peek('b'), undefined);
	t.is(recent.peek('a'), 1);
});

test('peeking at an entry does not count as use', t => {
	const recent = new LruMap<string, number>(1);
	t.is(recent.getOrCreate('a', () => 1), 1);
	t.is(recent.peek('a'), 1);
	t.is(recent.getOrCreate('b', () => 2), 2);
	t.is(recent.peek('a'), undefined);
});
