import fileSystem from 'node:fs/promises';
import {syncBuiltinESMExports} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers/promises';

/** Loaded into a process before its program: each replacement of a file of that name takes longer by so many milliseconds. */
const {SLOW_FILE: slowFile, SLOW_MILLISECONDS: slowMilliseconds} = process.env;
const {rename} = fileSystem;

fileSystem.rename = async (from, to) => {
	if (path.basename(String(to)) === slowFile) {
		await setTimeout(Number(slowMilliseconds));
	}

	await rename(from, to);
};

syncBuiltinESMExports();
