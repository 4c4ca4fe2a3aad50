import {Buffer} from 'node:buffer';
import {failure} from '@valehitch/core';
import test from 'ava';
import {Left, Right} from 'purify-ts';
import * as z from 'zod';
import {createSavedList, type SavedListOptions} from './saved-list.js';

/** Creates a saved list of numbers that is stored in the given file. */
function openNumberList(file: SavedListOptions<number>['file']) {
	const lines: string[] = [];
	const saved = createSavedList({
		list: 'numbers',
		file,
		log(kind, {reason}) {
			lines.push(`${kind}: ${String(reason)}`);
		},
		schema: z.number(),
	});
	return {saved, lines};
}

test('a list is read as it was written', async t => {
	let bytes: Uint8Array | undefined;
	const {saved} = openNumberList({
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

test('a file that is unreadable or does not match the schema is logged and read as an empty list', async t => {
	for (const text of ['[1, "two"]', '[1']) {
		const {saved, lines} = openNumberList({read: async () => Right(Buffer.from(text)), replace: async () => Right(undefined)});
		t.deepEqual(await saved.read(), []);
		t.is(lines.length, 1);
	}

	const failed = failure('internal', 'The disk is full');
	const {saved, lines} = openNumberList({read: async () => Left(failed), replace: async () => Left(failed)});
	t.deepEqual(await saved.read(), []);
	t.false(await saved.write([1]));
	t.deepEqual(lines, [`list-not-restored: ${failed.message}`, `list-not-saved: ${failed.message}`]);
});
