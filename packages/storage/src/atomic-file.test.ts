import {Buffer} from 'node:buffer';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {nodeFileSystem} from './file-system.js';
import {AtomicFile} from './atomic-file.js';

test('a read returns the last content written, and a failed write keeps the old content', async t => {
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-small-'));
	t.teardown(async () => rm(folder, {recursive: true}));
	const name = path.join(folder, 'servers.json');
	const file = new AtomicFile(name);
	const read = async () => {
		const bytes = await file.read();
		return bytes.map(data => data && Buffer.from(data).toString()).extract();
	};

	t.is(await read(), undefined);
	const first = await file.replace(Buffer.from('one'));
	t.true(first.isRight());
	t.is(await read(), 'one');
	const files = {
		...nodeFileSystem,
		async rename() {
			throw new Error('ENOSPC: no space left on device');
		},
	};
	const broken = new AtomicFile(name, {fileSystem: files});
	const second = await broken.replace(Buffer.from('two'));
	t.true(second.isLeft());
	t.is(await read(), 'one');
});
