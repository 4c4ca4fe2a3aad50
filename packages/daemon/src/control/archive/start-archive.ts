import path from 'node:path';
import {type LedgerPage, type LedgerQuery} from '@valehitch/control';
import {type Failure} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type DaemonBase} from '../../daemon-base.js';
import {type ArchivableState, archiveBills} from './archive-bills.js';
import {type BillChunk, createBillChunk} from './bill-chunk.js';
import {BillArchive} from './bill-archive.js';
import {fillGap} from './fill-gap.js';
import {readBillLines} from './read-bill-lines.js';

/** The dependencies of the archive. */
export type StartArchiveOptions = {
	readonly dataFolder: string;
	/** The position of the first bill that the archive must contain. */
	readonly firstBill: number;
	/** Returns the replicated state as applied on this replica. */
	readonly state: () => ArchivableState;
	/** Functions that request a chunk of bills, one per other replica. */
	readonly sources: ReadonlyArray<(first: number) => Promise<Either<Failure, BillChunk>>>;
};

/** The running archive of a control replica. */
export type RunningArchive = {
	readonly read: (question: LedgerQuery) => Promise<LedgerPage>;
	/** Reads a chunk of bills for another replica that lacks them. */
	readonly readChunk: (first: number) => Promise<BillChunk>;
	/** Returns the position up to which this replica has all bills, in the archive or in the state. */
	readonly heldUpTo: () => number;
	readonly stop: () => Promise<void>;
};

const archiveIntervalMilliseconds = 1000;
const folderName = 'bills';
// Far below the maximum frame size between daemons, even if the last bill of the chunk is long.
const chunkBytes = 262_144;

/**
Opens the archive in the data folder. Every second, moves bills from the replicated state to it, and fetches bills that this replica never had from the other replicas.

If the disk fails, the bills stay in memory, and the error is logged and counted.

@param base The logger and the metrics.
@param options The data folder, the replicated state, and the other replicas.
@returns The running archive, or undefined if it cannot be opened.
@example
```ts
const archive = await startArchive(base, {dataFolder, firstBill: 1, state: () => host.state, sources});
```
*/
export async function startArchive({log, metrics}: Pick<DaemonBase, 'log' | 'metrics'>, {
	dataFolder, firstBill, state, sources,
}: StartArchiveOptions): Promise<RunningArchive | undefined> {
	const folder = path.join(dataFolder, folderName);
	const reportFailure = (error: unknown) => {
		metrics.increment('archive.failed');
		log.error({err: error, folder}, 'Failed to archive bills; they stay in memory');
	};

	try {
		const archive = await BillArchive.open(folder, firstBill);
		let running = Promise.resolve();
		let isBusy = false;
		let isStopped = false;
		const onInvalidChunk = (error: Error) => {
			metrics.increment('archive.damaged');
			log.error({err: error, folder}, 'Another replica sent a damaged chunk of bills; trying the next one');
		};

		const archiveAndFillGaps = async (): Promise<void> => {
			await archiveBills(state(), archive);
			const result = await fillGap(archive, {before: state().billPositions.first, sources, onInvalidChunk});
			if (result === 'stuck') {
				metrics.increment('archive.incomplete');
				log.warn({folder, gap: archive.gapBefore(state().billPositions.first)}, 'No other replica returned the bills that are missing in the archive; retrying');
			}

			if (result === 'progress' && !isStopped) {
				await archiveAndFillGaps();
			}
		};

		const timer = setInterval(() => {
			if (isBusy) {
				return;
			}

			isBusy = true;
			running = archiveAndFillGaps().catch(reportFailure).finally(() => {
				isBusy = false;
			});
		}, archiveIntervalMilliseconds);
		return {
			read: async question => archive.read(question),
			readChunk: async first => createBillChunk(await readBillLines({first, bytes: chunkBytes}, {archive, state: state()})),
			heldUpTo() {
				const {first, last} = state().billPositions;
				const gap = archive.gapBefore(first);
				return gap === undefined ? last : gap.first - 1;
			},
			async stop() {
				isStopped = true;
				clearInterval(timer);
				await running;
			},
		};
	} catch (error) {
		reportFailure(error);
		return undefined;
	}
}
