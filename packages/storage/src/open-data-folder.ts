import {randomUUID} from 'node:crypto';
import path from 'node:path';
import {type Failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {readOrCreateIdentity} from './_identity.js';
import {loadFolder} from './_load-folder.js';
import {type FolderAccess} from './_folder-access.js';
import {DataFolder, toStorageFailure} from './data-folder.js';
import {type FileSystem, nodeFileSystem} from './file-system.js';
import {lockFolder, type Unlock} from './lock-folder.js';

/** Options for `openDataFolder`. */
export type DataFolderOptions = {
	/** Segment size in bytes at which a new segment is started; 4 194 304 by default. */
	readonly segmentBytes?: number;
	/** The file system to use; that of the machine by default. */
	readonly fileSystem?: FileSystem;
	/** Acquires the lock that excludes other processes; `lockFolder` by default. */
	readonly lock?: (folder: string) => Promise<Either<Failure, Unlock>>;
	/** Generates the identity of an empty folder; a random UUID by default. */
	readonly generateIdentity?: () => string;
};

const defaultSegmentBytes = 4_194_304;
const temporarySuffix = '.temporary';

/**
Opens a data folder: locks it, reads its identity, snapshot and log, and truncates a torn write at the end of the log.

A record that is damaged anywhere else, a missing segment or a missing snapshot is reported as a failure that names the file. In these cases data that was already acknowledged is lost, so the replica must not continue from this folder.

@param folder The path of the folder; created if it does not exist.
@param options How to open the folder.
@returns The open folder, or the reason why it cannot be opened.
@example
```ts
const folder = await openDataFolder('data/entry-1');
```
*/
export async function openDataFolder(folder: string, options: DataFolderOptions = {}): Promise<Either<Failure, DataFolder>> {
	const fileSystem = options.fileSystem ?? nodeFileSystem;
	const access = {folder, fileSystem};
	try {
		await fileSystem.createFolder(folder);
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
		const identity = await readOrCreateIdentity(access, options.generateIdentity ?? randomUUID);
		const loaded = await loadFolder(access, identity.identity);
		const opened = new DataFolder({
			...identity, access, loaded, unlock, segmentBytes: options.segmentBytes ?? defaultSegmentBytes,
		});
		await opened.startFirstSegment(loaded.keepsEarlier);
		return Right(opened);
	} catch (error) {
		await unlock();
		return Left(toStorageFailure(error, access.folder));
	}
}

async function removeTemporaryFiles({folder, fileSystem}: FolderAccess): Promise<void> {
	for (const name of await fileSystem.list(folder)) {
		if (name.endsWith(temporarySuffix)) {
			await fileSystem.remove(path.join(folder, name));
		}
	}
}
