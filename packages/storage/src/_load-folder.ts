import {type LogEntry, type Snapshot} from '@valehitch/consensus';
import {type FolderAccess} from './_folder-access.js';
import {replayLog, type ReplayedLog} from './_replay-log.js';
import {findSnapshot} from './_snapshot-file.js';
import {StorageError} from './_storage-error.js';

/** The snapshot and the log of a folder, made to fit. */
export type LoadedFolder = {
	readonly snapshot: Snapshot | undefined;
	/** The entries after the snapshot. */
	readonly entries: readonly LogEntry[];
	/** False where the log before the snapshot says something else than the snapshot. */
	readonly keepsEarlier: boolean;
	readonly log: ReplayedLog;
	/** What the operators should know, in sentence case. */
	readonly warnings: readonly string[];
};

/** Reads everything a folder holds. */
export async function loadFolder(access: FolderAccess, identity: string): Promise<LoadedFolder> {
	const log = await replayLog(access, identity);
	const {snapshot, damaged} = await findSnapshot(access);
	const {memoryLog} = log;
	if (damaged !== undefined && memoryLog.lastIndex < damaged.lastIndex) {
		throw damaged.error;
	}

	const snapshotIndex = snapshot?.lastIndex ?? 0;
	if (log.previousIndex > snapshotIndex) {
		throw damaged?.error ?? new StorageError(`Got a log that begins after entry ${log.previousIndex} and a snapshot up to entry ${snapshotIndex} in ${access.folder}, wanted no gap between them`);
	}

	const termInLog = memoryLog.termAt(snapshotIndex);
	const agreesWithSnapshot = termInLog === undefined || termInLog === snapshot?.lastTerm;
	const keepsEarlier = agreesWithSnapshot && memoryLog.lastIndex >= snapshotIndex;
	return {
		snapshot,
		entries: keepsEarlier ? memoryLog.entries.filter(({index}) => index > snapshotIndex) : [],
		keepsEarlier,
		log,
		warnings: describeRepairs(log, damaged?.error),
	};
}

function describeRepairs({tornBytes}: ReplayedLog, damaged: StorageError | undefined): readonly string[] {
	return [
		...(tornBytes > 0 ? [`Cut back ${tornBytes} bytes of a write that was not finished`] : []),
		...(damaged === undefined ? [] : [`Went back to the snapshot before: ${damaged.message}`]),
	];
}
