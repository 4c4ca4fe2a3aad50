import path from 'node:path';
import {temporaryName} from './_names.js';
import {type Place} from './_place.js';
import {StorageError} from './_storage-error.js';

/** Writes a file whole or not at all: to a temporary file, synced, read back, renamed, and the folder synced. */
export async function replaceFile({folder, files}: Place, {name, data}: {readonly name: string; readonly data: Uint8Array}): Promise<void> {
	const temporary = path.join(folder, temporaryName(name));
	const file = await files.create(temporary);
	try {
		await file.append(data);
		await file.sync();
	} finally {
		await file.close();
	}

	const written = await files.read(temporary);
	if (written.length !== data.length) {
		throw new StorageError(`Got ${written.length} bytes back from ${temporary}, wanted ${data.length}`);
	}

	await files.rename(temporary, path.join(folder, name));
	await files.syncFolder(folder);
}
