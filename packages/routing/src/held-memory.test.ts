import test from 'ava';
import * as fc from 'fast-check';
import {HeldMemory} from './held-memory.js';

test('the bytes of all requests are summed, and what is released is free again', t => {
	const memory = new HeldMemory({totalBytes: 100});
	const one = memory.open();
	const two = memory.open();
	one.set(30);
	two.add(10);
	two.add(10);
	t.is(memory.held, 50);
	t.is(memory.room, 50);
	one.set(5);
	t.is(memory.room, 75);
	one.set(0);
	two.set(0);
	t.is(memory.held, 0);
});

test('an answer is buffered up to its own bound and half of all bytes, so that requests still fit', t => {
	const memory = new HeldMemory({totalBytes: 100, answerBytes: 40});
	const answers = [memory.open(), memory.open()];
	answers[0]?.set(40);
	t.true(memory.mayBuffer(40));
	t.false(memory.mayBuffer(41));
	answers[1]?.set(10);
	t.true(memory.mayBuffer(10));
	answers[1]?.set(11);
	t.false(memory.mayBuffer(11));
	t.is(memory.room, 49);
});

test('without a limit nothing is buffered and every request fits', t => {
	const memory = new HeldMemory();
	memory.open().set(1_000_000_000);
	t.false(memory.mayBuffer(1));
	t.is(memory.room, Number.POSITIVE_INFINITY);
});

test('slow callers whose servers are paused when they must be hold no more than half of all bytes and a chunk each', t => {
	const chunkBytes = 10;
	fc.assert(fc.property(fc.array(fc.record({caller: fc.nat({max: 9}), reads: fc.boolean()}), {maxLength: 400}), steps => {
		const memory = new HeldMemory({totalBytes: 400, answerBytes: 60});
		const callers = Array.from({length: 10}, () => ({held: memory.open(), unread: 0, isPaused: false}));
		for (const {caller: index, reads} of steps) {
			const caller = callers[index]!;
			if (reads) {
				caller.unread = 0;
				caller.isPaused = false;
			} else if (!caller.isPaused) {
				caller.unread += chunkBytes;
			}

			caller.held.set(caller.unread);
			caller.isPaused ||= caller.unread > 0 && !memory.mayBuffer(caller.unread);
			t.is(memory.held, callers.reduce((sum, {unread}) => sum + unread, 0));
			t.true(memory.held <= 200 + (callers.length * chunkBytes));
			t.true(caller.unread <= 60 + chunkBytes);
		}
	}));
});

test('answers that all grow without end leave room, and none of them keeps another one from being collected', t => {
	for (const count of [1, 40, 400]) {
		const memory = new HeldMemory({totalBytes: 90_000_000});
		const answers = Array.from({length: count}, () => ({held: memory.open(), bytes: 0, isClosed: false}));
		let leastRoom = memory.room;
		while (answers.some(({isClosed}) => !isClosed)) {
			for (const answer of answers) {
				answer.bytes += answer.isClosed ? 0 : 16_384;
				answer.held.set(answer.bytes);
				if (!memory.mayCollect(answer.bytes)) {
					answer.isClosed = true;
					answer.bytes = 0;
					answer.held.set(0);
				}

				leastRoom = Math.min(leastRoom, memory.room);
			}
		}

		t.true(leastRoom > 0, `${leastRoom} bytes left by ${count}`);
	}

	const full = new HeldMemory({totalBytes: 1000});
	full.open().set(1000);
	t.true(full.mayCollect(16_384));
	t.false(full.mayCollect(16_385));
});

test('without a limit every answer is collected', t => {
	const memory = new HeldMemory();
	memory.open().set(1_000_000_000);
	t.true(memory.mayCollect(1_000_000_000));
});
