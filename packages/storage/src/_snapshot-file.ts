import path from 'node:path';
import {type Snapshot} from '@valehitch/consensus';
import {readFrame, writeFrame} from './_frame.js';
import {snapshotIndexes, snapshotName} from './_names.js';
import {type Place} from './_place.js';
import {replaceFile} from './_replace-file.js';
import {StorageError} from './_storage-error.js';

/** The newest snapshot that can be read, and the newest that cannot. */
export type FoundSnapshot = {
	readonly snapshot: Snapshot | undefined;
	/** The last index of a newer snapshot that is damaged, and what is wrong with it. */
	readonly damaged: {readonly lastIndex: number; readonly error: StorageError} | undefined;
};

/** Writes a snapshot; the earlier ones stay until `removeSnapshotsBefore`. */
export async function writeSnapshot(place: Place, snapshot: Snapshot): Promise<void> {
	await replaceFile(place, {name: snapshotName(snapshot.lastIndex), data: writeFrame(snapshot)});
	await readSnapshot(place, snapshot.lastIndex);
}

/** Removes the snapshots that a newer one replaced. */
export async function removeSnapshotsBefore({folder, files}: Place, lastIndex: number): Promise<void> {
	for (const index of snapshotIndexes(await files.list(folder))) {
		if (index < lastIndex) {
			await files.remove(path.join(folder, snapshotName(index)));
		}
	}
}

/** Finds the newest good snapshot. */
export async function findSnapshot(place: Place): Promise<FoundSnapshot> {
	let damaged: FoundSnapshot['damaged'];
	for (const lastIndex of snapshotIndexes(await place.files.list(place.folder)).toReversed()) {
		try {
			return {snapshot: await readSnapshot(place, lastIndex), damaged};
		} catch (error) {
			if (!(error instanceof StorageError)) {
				throw error;
			}

			damaged ??= {lastIndex, error};
		}
	}

	return {snapshot: undefined, damaged};
}

async function readSnapshot({folder, files}: Place, lastIndex: number): Promise<Snapshot> {
	const file = path.join(folder, snapshotName(lastIndex));
	const data = await files.read(file);
	const frame = readFrame(data, 0);
	if (frame.type !== 'frame' || frame.end !== data.length) {
		throw new StorageError('Got a damaged snapshot, wanted one whose checksum holds', {file, offset: 0});
	}

	return frame.body as Snapshot;
}
