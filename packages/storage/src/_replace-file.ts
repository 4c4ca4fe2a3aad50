import path from 'node:path';
import {temporaryFileName} from './_file-names.js';
import {type FolderAccess} from './_folder-access.js';
import {StorageError} from './_storage-error.js';

/** Writes a file whole or not at all: to a temporary file, synced, read back, renamed, and the folder synced. */
export async function replaceFile({folder, files}: FolderAccess, {name, data}: {readonly name: string; readonly data: Uint8Array}): Promise<void> {
	const temporary = path.join(folder, temporaryFileName(name));
	const file = await files.create(temporary);
	try {
		await file.append(data);
		await file.sync();
	} finally {
		await file.close();
	}

	const readBack = await files.read(temporary);
	if (readBack.length !== data.length) {
		throw new StorageError(`Got ${readBack.length} bytes back from ${temporary}, wanted ${data.length}`);
	}

	await files.rename(temporary, path.join(folder, name));
	await files.syncFolder(folder);
}
