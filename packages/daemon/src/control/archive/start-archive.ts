import path from 'node:path';
import {type LedgerPage, type LedgerQuestion} from '@valehitch/control';
import {type DaemonBase} from '../../daemon-base.js';
import {type ArchivedState, archiveBills} from './archive-bills.js';
import {BillArchive} from './bill-archive.js';

/** What the archive needs. */
export type StartArchiveOptions = {
	readonly dataFolder: string;
	/** The replicated state as far as it is applied here. */
	readonly state: () => ArchivedState;
};

/** The running archive of a control replica. */
export type RunningArchive = {
	readonly read: (question: LedgerQuestion) => Promise<LedgerPage>;
	readonly stop: () => Promise<void>;
};

const archiveMilliseconds = 1000;
const folderName = 'bills';

/**
Opens the archive under the data folder and moves bills there every second.

A disk that fails leaves the bills in memory, and is logged and counted.

@param base What every part works with.
@param options The data folder, and the replicated state as far as it is applied here.
@returns The running archive; undefined where it cannot be opened.
@example
```ts
const archive = await startArchive(base, {dataFolder, state: () => host.state});
```
*/
export async function startArchive({log, metrics}: Pick<DaemonBase, 'log' | 'metrics'>, {dataFolder, state}: StartArchiveOptions): Promise<RunningArchive | undefined> {
	const folder = path.join(dataFolder, folderName);
	const failed = (error: unknown) => {
		metrics.increment('archive.failed');
		log.error({err: error, folder}, 'Bills could not be archived; they stay in memory');
	};

	try {
		const archive = await BillArchive.open(folder);
		let running = Promise.resolve();
		let isBusy = false;
		const timer = setInterval(() => {
			if (isBusy) {
				return;
			}

			isBusy = true;
			running = archiveBills(state(), archive).catch(failed).finally(() => {
				isBusy = false;
			});
		}, archiveMilliseconds);
		return {
			read: async question => archive.read(question),
			async stop() {
				clearInterval(timer);
				await running;
			},
		};
	} catch (error) {
		failed(error);
		return undefined;
	}
}
