import {Buffer} from 'node:buffer';
import {failure} from '@valehitch/core';
import test from 'ava';
import {Left, Right} from 'purify-ts';
import * as z from 'zod';
import {saveList, type SaveListOptions} from './saved-list.js';

/** A list of numbers in a file that holds some text. */
function saveNumbers(file: SaveListOptions<number>['file']) {
	const lines: string[] = [];
	const saved = saveList({
		list: 'numbers',
		file,
		log(kind, {reason}) {
			lines.push(`${kind}: ${String(reason)}`);
		},
		schema: z.number(),
	});
	return {saved, lines};
}

test('a list comes back as it was written', async t => {
	let bytes: Uint8Array | undefined;
	const {saved} = saveNumbers({
		read: async () => Right(bytes),
		async replace(replaced) {
			bytes = replaced;
			return Right(undefined);
		},
	});
	t.deepEqual(await saved.read(), []);
	t.true(await saved.write([1, 2]));
	t.deepEqual(await saved.read(), [1, 2]);
});

test('a file that cannot be read or does not fit is an empty list and a line in the log', async t => {
	for (const text of ['[1, "two"]', '[1']) {
		const {saved, lines} = saveNumbers({read: async () => Right(Buffer.from(text)), replace: async () => Right(undefined)});
		t.deepEqual(await saved.read(), []);
		t.is(lines.length, 1);
	}

	const failed = failure('internal', 'Got a disk that is full');
	const {saved, lines} = saveNumbers({read: async () => Left(failed), replace: async () => Left(failed)});
	t.deepEqual(await saved.read(), []);
	t.false(await saved.write([1]));
	t.deepEqual(lines, [`list-not-restored: ${failed.message}`, `list-not-saved: ${failed.message}`]);
});
