import {Writable} from 'node:stream';
import test from 'ava';
import {toBoundedOutput} from './bounded-output.js';

test('the buffer for a stalled reader is bounded, and dropped lines are counted', t => {
	const stalled = new Writable({
		write() {
			// Never completes a write.
		},
	});
	const output = toBoundedOutput(stalled);
	const line = `${'x'.repeat(999)}\n`;
	for (let index = 0; index < 2000; index++) {
		output.write(line);
	}

	t.true(stalled.writableLength <= 262_144);
	t.true(output.dropped() > 1700);
});

test('a closed reader causes no exception', t => {
	const gone = new Writable({
		write(_chunk, _encoding, callback) {
			callback(new Error('EPIPE'));
		},
	});
	const output = toBoundedOutput(gone);
	output.write('one\n');
	t.notThrows(() => {
		output.write('two\n');
	});
});

test('lines are batched into one write, and a flush writes them immediately', async t => {
	const writes: number[] = [];
	const reader = new Writable({
		decodeStrings: false,
		write(_chunk, _encoding, done) {
			writes.push(1);
			done();
		},
		writev(chunks, done) {
			writes.push(chunks.length);
			done();
		},
	});
	const output = toBoundedOutput(reader);
	output.write('one\n');
	output.write('two\n');
	t.deepEqual(writes, []);
	await output.flush();
	t.is(writes[0], 2);
	output.write('three\n');
	await new Promise(resolve => {
		setTimeout(resolve, 400);
	});
	t.is(reader.writableLength, 0);
});
