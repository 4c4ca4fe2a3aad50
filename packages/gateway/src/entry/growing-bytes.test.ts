import {Buffer} from 'node:buffer';
import test from 'ava';
import {GrowingBytes} from './_growing-bytes.js';

test('bytes that arrive one by one are copied a bounded number of times, and need no more than twice their memory', t => {
	const bytes = new GrowingBytes();
	const buffers = new Set<ArrayBufferLike>();
	for (let index = 0; index < 100_000; index++) {
		bytes.append(Uint8Array.of(index % 256));
		buffers.add(bytes.view.buffer);
		t.true(bytes.capacity <= 2 * bytes.length);
	}

	t.true(buffers.size < 20, `${buffers.size} buffers`);
	t.deepEqual(bytes.view, Buffer.from(Uint8Array.from({length: 100_000}, (_, index) => index % 256)));
});

test('a view stays as it is when bytes are appended', t => {
	const bytes = new GrowingBytes();
	bytes.append(Buffer.from('abc'));
	const {view} = bytes;
	bytes.append(Buffer.from('def'));
	t.deepEqual(view, Buffer.from('abc'));
	t.deepEqual(bytes.view, Buffer.from('abcdef'));
});
