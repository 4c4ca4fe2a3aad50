import {type LogEntry, type Snapshot} from '@valehitch/consensus';
import {type FolderAccess} from './_folder-access.js';
import {replayLog, type ReplayedLog} from './_replay-log.js';
import {findSnapshot} from './_snapshot-file.js';
import {StorageError} from './_storage-error.js';

/** The reconciled snapshot and log of a data folder. */
export type LoadedFolder = {
	readonly snapshot: Snapshot | undefined;
	/** The log entries that follow the snapshot. */
	readonly entries: readonly LogEntry[];
	/** Whether earlier segments stay valid; false if the log ends before the snapshot or conflicts with its last term. */
	readonly keepsEarlier: boolean;
	readonly log: ReplayedLog;
	/** Repairs to report to operators, in sentence case. */
	readonly warnings: readonly string[];
};

/** Reads the log and the newest intact snapshot, and reconciles them. */
export async function loadFolder(access: FolderAccess, identity: string): Promise<LoadedFolder> {
	const log = await replayLog(access, identity);
	const {snapshot, damaged} = await findSnapshot(access);
	const {memoryLog} = log;
	if (damaged !== undefined && memoryLog.lastIndex < damaged.lastIndex) {
		throw damaged.error;
	}

	const snapshotIndex = snapshot?.lastIndex ?? 0;
	if (log.previousIndex > snapshotIndex) {
		const lacking = new StorageError(`The data folder ${access.folder} lacks entries: the snapshot ends at entry ${snapshotIndex}, the log starts after entry ${log.previousIndex}`);
		throw damaged?.error ?? log.gap ?? lacking;
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
		...(tornBytes > 0 ? [`Truncated ${tornBytes} bytes of an incomplete write`] : []),
		...(damaged === undefined ? [] : [`Fell back to an earlier snapshot: ${damaged.message}`]),
	];
}
