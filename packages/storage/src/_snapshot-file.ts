import path from 'node:path';
import {type Snapshot} from '@valehitch/consensus';
import {decodeFrame, encodeFrame} from './_frame.js';
import {snapshotIndexes, snapshotFileName} from './_file-names.js';
import {type FolderAccess} from './_folder-access.js';
import {replaceFile} from './_replace-file.js';
import {StorageError} from './_storage-error.js';

/** The newest intact snapshot, and the newest damaged snapshot after it. */
export type SnapshotSearchResult = {
	readonly snapshot: Snapshot | undefined;
	/** The last index of the newest damaged snapshot that is newer than the intact one, and the error found in it. */
	readonly damaged: {readonly lastIndex: number; readonly error: StorageError} | undefined;
};

/** Writes a snapshot and verifies it. Earlier snapshots are kept until `removeSnapshotsBefore` is called. */
export async function writeSnapshot(access: FolderAccess, snapshot: Snapshot): Promise<void> {
	await replaceFile(access, {name: snapshotFileName(snapshot.lastIndex), data: encodeFrame(snapshot)});
	await readSnapshot(access, snapshot.lastIndex);
}

/** Removes the snapshots whose last index is less than `lastIndex`. */
export async function removeSnapshotsBefore({folder, fileSystem}: FolderAccess, lastIndex: number): Promise<void> {
	for (const index of snapshotIndexes(await fileSystem.list(folder))) {
		if (index < lastIndex) {
			await fileSystem.remove(path.join(folder, snapshotFileName(index)));
		}
	}
}

/** Finds the newest intact snapshot. */
export async function findSnapshot(access: FolderAccess): Promise<SnapshotSearchResult> {
	let damaged: SnapshotSearchResult['damaged'];
	for (const lastIndex of snapshotIndexes(await access.fileSystem.list(access.folder)).toReversed()) {
		try {
			return {snapshot: await readSnapshot(access, lastIndex), damaged};
		} catch (error) {
			if (!(error instanceof StorageError)) {
				throw error;
			}

			damaged ??= {lastIndex, error};
		}
	}

	return {snapshot: undefined, damaged};
}

async function readSnapshot({folder, fileSystem}: FolderAccess, lastIndex: number): Promise<Snapshot> {
	const file = path.join(folder, snapshotFileName(lastIndex));
	const data = await fileSystem.read(file);
	const frame = decodeFrame(data, 0);
	if (frame.type !== 'frame' || frame.end !== data.length) {
		throw new StorageError('Found a damaged snapshot', {file, offset: 0});
	}

	return frame.body as Snapshot;
}
