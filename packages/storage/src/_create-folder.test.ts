import {mkdir, mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {createFolder} from './_create-folder.js';
import {nodeFileSystem} from './file-system.js';

test('a power loss does not remove a new data folder with what is synced inside', async t => {
	const base = await mkdtemp(path.join(tmpdir(), 'valehitch-'));
	t.teardown(async () => rm(base, {recursive: true}));
	const synced: string[] = [];
	const options = {
		make: async (folder: string) => mkdir(folder, {recursive: true}),
		async syncFolder(folder: string) {
			await nodeFileSystem.syncFolder(folder);
			synced.push(path.relative(base, folder));
		},
	};
	await createFolder(path.join(base, 'state', 'entry-1'), options);
	t.deepEqual(synced, ['state', '']);
	await createFolder(path.join(base, 'state', 'entry-1'), options);
	t.is(synced.length, 2);
});
