/**
Preloaded into a process with `--import`: appended bytes reach the file only with the next sync, so that a kill loses what a power loss would lose. Each sync takes a random time up to the configured one.

@module
*/
import {Buffer} from 'node:buffer';
import {open} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout} from 'node:timers/promises';

const {MAXIMUM_SYNC_MILLISECONDS: maximumSyncMilliseconds = '0'} = process.env;
const handle = await open(process.execPath, 'r');
const prototype = Object.getPrototypeOf(handle) as typeof handle;
await handle.close();
const {appendFile, close} = prototype;
const unsynced = new WeakMap<typeof handle, Uint8Array[]>();

async function flush(file: typeof handle): Promise<void> {
	const written = unsynced.get(file) ?? [];
	unsynced.delete(file);
	if (written.length > 0) {
		await appendFile.call(file, Buffer.concat(written));
	}
}

prototype.appendFile = async function (this: typeof handle, data) {
	unsynced.set(this, [...unsynced.get(this) ?? [], Buffer.from(data as Uint8Array)]);
};

for (const name of ['datasync', 'sync'] as const) {
	const sync = prototype[name];
	prototype[name] = async function (this: typeof handle) {
		await setTimeout(Math.random() * Number(maximumSyncMilliseconds));
		await flush(this);
		await sync.call(this);
	};
}

prototype.close = async function (this: typeof handle) {
	await flush(this);
	await close.call(this);
};
