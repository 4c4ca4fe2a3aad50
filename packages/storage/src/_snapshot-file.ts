import path from 'node:path';
import {type Snapshot} from '@valehitch/consensus';
import {decodeFrame, encodeFrame} from './_frame.js';
import {snapshotIndexes, snapshotFileName} from './_file-names.js';
import {type FolderAccess} from './_folder-access.js';
import {replaceFile} from './_replace-file.js';
import {StorageError} from './_storage-error.js';

/** The newest snapshot that can be read, and the newest that cannot. */
export type SnapshotSearchResult = {
	readonly snapshot: Snapshot | undefined;
	/** The last index of a newer snapshot that is damaged, and what is wrong with it. */
	readonly damaged: {readonly lastIndex: number; readonly error: StorageError} | undefined;
};

/** Writes a snapshot; the earlier ones stay until `removeSnapshotsBefore`. */
export async function writeSnapshot(access: FolderAccess, snapshot: Snapshot): Promise<void> {
	await replaceFile(access, {name: snapshotFileName(snapshot.lastIndex), data: encodeFrame(snapshot)});
	await readSnapshot(access, snapshot.lastIndex);
}

/** Removes the snapshots that a newer one replaced. */
export async function removeSnapshotsBefore({folder, files}: FolderAccess, lastIndex: number): Promise<void> {
	for (const index of snapshotIndexes(await files.list(folder))) {
		if (index < lastIndex) {
			await files.remove(path.join(folder, snapshotFileName(index)));
		}
	}
}

/** Finds the newest good snapshot. */
export async function findSnapshot(access: FolderAccess): Promise<SnapshotSearchResult> {
	let damaged: SnapshotSearchResult['damaged'];
	for (const lastIndex of snapshotIndexes(await access.files.list(access.folder)).toReversed()) {
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

async function readSnapshot({folder, files}: FolderAccess, lastIndex: number): Promise<Snapshot> {
	const file = path.join(folder, snapshotFileName(lastIndex));
	const data = await files.read(file);
	const frame = decodeFrame(data, 0);
	if (frame.type !== 'frame' || frame.end !== data.length) {
		throw new StorageError('Got a damaged snapshot, wanted one whose checksum holds', {file, offset: 0});
	}

	return frame.body as Snapshot;
}
