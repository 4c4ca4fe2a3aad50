import {randomUUID} from 'node:crypto';
import path from 'node:path';
import {type Failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {readOrCreateIdentity} from './_identity.js';
import {loadFolder} from './_load-folder.js';
import {type FolderAccess} from './_folder-access.js';
import {DataFolder, toStorageFailure} from './data-folder.js';
import {type FileFunctions, systemFiles} from './file-functions.js';
import {lockFolder, type Unlock} from './lock-folder.js';

/** How to open a data folder. */
export type DataFolderOptions = {
	/** Bytes after which the next segment is begun; 4 194 304 by default. */
	readonly segmentBytes?: number;
	/** Reaches the file system; the machine's by default. */
	readonly files?: FileFunctions;
	/** Locks the folder against other processes; a lock of the kernel by default. */
	readonly lock?: (folder: string) => Promise<Either<Failure, Unlock>>;
	/** Names an empty folder; a random UUID by default. */
	readonly newIdentity?: () => string;
};

const defaultSegmentBytes = 4_194_304;
const temporarySuffix = '.temporary';

/**
Opens a data folder: locks it, reads its identity, snapshot and log, and cuts an unfinished write at the end of the log back.

A record that is damaged anywhere else, a missing segment and a missing snapshot are failures that name the file: the folder was acknowledged to hold what it no longer does, so nothing may be built on it.

@param folder The folder; made where it is missing.
@param options How to open it.
@returns The open folder.
@example
```ts
const folder = await openDataFolder('data/entry-1');
```
*/
export async function openDataFolder(folder: string, options: DataFolderOptions = {}): Promise<Either<Failure, DataFolder>> {
	const files = options.files ?? systemFiles;
	const access = {folder, files};
	try {
		await files.makeFolder(folder);
		const locked = await (options.lock ?? lockFolder)(folder);
		return await locked.caseOf<Promise<Either<Failure, DataFolder>>>({
			Left: async failed => Left(failed),
			Right: async release => openLockedFolder(access, release, options),
		});
	} catch (error) {
		return Left(toStorageFailure(error, folder));
	}
}

async function openLockedFolder(access: FolderAccess, unlock: Unlock, options: DataFolderOptions): Promise<Either<Failure, DataFolder>> {
	try {
		await removeTemporaryFiles(access);
		const identity = await readOrCreateIdentity(access, options.newIdentity ?? randomUUID);
		const loaded = await loadFolder(access, identity.identity);
		const opened = new DataFolder({
			...identity, place: access, loaded, unlock, segmentBytes: options.segmentBytes ?? defaultSegmentBytes,
		});
		await opened.begin(loaded.keepsEarlier);
		return Right(opened);
	} catch (error) {
		await unlock();
		return Left(toStorageFailure(error, access.folder));
	}
}

async function removeTemporaryFiles({folder, files}: FolderAccess): Promise<void> {
	for (const name of await files.list(folder)) {
		if (name.endsWith(temporarySuffix)) {
			await files.remove(path.join(folder, name));
		}
	}
}
