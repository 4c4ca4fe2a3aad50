/**
Preloaded into a process with `--import`: delays each rename to a file of the configured name, and each sync.

@module
*/
import fileSystem, {open} from 'node:fs/promises';
import {syncBuiltinESMExports} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers/promises';

const {SLOW_FILE: slowFile, SLOW_FILE_MILLISECONDS: fileMilliseconds = '0', SLOW_SYNC_MILLISECONDS: syncMilliseconds = '0'} = process.env;
const {rename} = fileSystem;

fileSystem.rename = async (from, to) => {
	if (path.basename(String(to)) === slowFile) {
		await setTimeout(Number(fileMilliseconds));
	}

	await rename(from, to);
};

syncBuiltinESMExports();

const handle = await open(process.execPath, 'r');
const fileHandlePrototype = Object.getPrototypeOf(handle) as Pick<typeof handle, 'datasync' | 'sync'>;
await handle.close();
for (const name of ['datasync', 'sync'] as const) {
	const sync = fileHandlePrototype[name];
	fileHandlePrototype[name] = async function (this: typeof handle) {
		await setTimeout(Number(syncMilliseconds));
		await sync.call(this);
	};
}
