import path from 'node:path';
import {temporaryFileName} from './_file-names.js';
import {type FolderAccess} from './_folder-access.js';
import {StorageError} from './_storage-error.js';

/** Writes a file atomically: writes and syncs a temporary file, reads it back, renames it and syncs the folder. */
export async function replaceFile({folder, fileSystem}: FolderAccess, {name, data}: {readonly name: string; readonly data: Uint8Array}): Promise<void> {
	const temporary = path.join(folder, temporaryFileName(name));
	const file = await fileSystem.create(temporary);
	try {
		await file.append(data);
		await file.sync();
	} finally {
		await file.close();
	}

	const readBack = await fileSystem.read(temporary);
	if (readBack.length !== data.length) {
		throw new StorageError(`Wrote ${data.length} bytes to ${temporary} but read back ${readBack.length}`);
	}

	await fileSystem.rename(temporary, path.join(folder, name));
	await fileSystem.syncFolder(folder);
}
