import path from 'node:path';
import {type LedgerPage, type LedgerQuestion} from '@valehitch/control';
import {type Failure} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type DaemonBase} from '../../daemon-base.js';
import {type ArchivedState, archiveBills} from './archive-bills.js';
import {type ArchivedPiece, sealPiece} from './archived-piece.js';
import {BillArchive} from './bill-archive.js';
import {fillGap} from './fill-gap.js';
import {readHeldLines} from './read-held-lines.js';

/** What the archive needs. */
export type StartArchiveOptions = {
	readonly dataFolder: string;
	/** The position of the first bill that the archive must hold. */
	readonly firstBill: number;
	/** The replicated state as far as it is applied here. */
	readonly state: () => ArchivedState;
	/** Asks each other replica for a piece of its bills. */
	readonly sources: ReadonlyArray<(first: number) => Promise<Either<Failure, ArchivedPiece>>>;
};

/** The running archive of a control replica. */
export type RunningArchive = {
	readonly read: (question: LedgerQuestion) => Promise<LedgerPage>;
	/** A piece of the bills that this replica has, for another one that lacks them. */
	readonly piece: (first: number) => Promise<ArchivedPiece>;
	/** The position up to which this replica has every bill, in the archive or in the state. */
	readonly heldUpTo: () => number;
	readonly stop: () => Promise<void>;
};

const archiveMilliseconds = 1000;
const folderName = 'bills';
// Far below the largest frame between daemons, also with one long bill at the end.
const pieceBytes = 262_144;

/**
Opens the archive under the data folder, moves bills there every second, and fetches from the other replicas those that this one never had.

A disk that fails leaves the bills in memory, and is logged and counted.

@param base What every part works with.
@param options The data folder, the replicated state as far as it is applied here, and the other replicas.
@returns The running archive; undefined where it cannot be opened.
@example
```ts
const archive = await startArchive(base, {dataFolder, firstBill: 1, state: () => host.state, sources});
```
*/
export async function startArchive({log, metrics}: Pick<DaemonBase, 'log' | 'metrics'>, {
	dataFolder, firstBill, state, sources,
}: StartArchiveOptions): Promise<RunningArchive | undefined> {
	const folder = path.join(dataFolder, folderName);
	const failed = (error: unknown) => {
		metrics.increment('archive.failed');
		log.error({err: error, folder}, 'Bills could not be archived; they stay in memory');
	};

	try {
		const archive = await BillArchive.open(folder, firstBill);
		let running = Promise.resolve();
		let isBusy = false;
		let isStopped = false;
		const onDamage = (error: Error) => {
			metrics.increment('archive.damaged');
			log.error({err: error, folder}, 'Another replica sent bills that are damaged; the next one is asked');
		};

		const work = async (): Promise<void> => {
			await archiveBills(state(), archive);
			const result = await fillGap(archive, {before: state().billPositions.first, sources, onDamage});
			if (result === 'stuck') {
				metrics.increment('archive.incomplete');
				log.warn({folder, gap: archive.gapBefore(state().billPositions.first)}, 'No other replica gave the bills that are missing here; they are asked for again');
			}

			if (result === 'progress' && !isStopped) {
				await work();
			}
		};

		const timer = setInterval(() => {
			if (isBusy) {
				return;
			}

			isBusy = true;
			running = work().catch(failed).finally(() => {
				isBusy = false;
			});
		}, archiveMilliseconds);
		return {
			read: async question => archive.read(question),
			piece: async first => sealPiece(await readHeldLines({first, bytes: pieceBytes}, {archive, state: state()})),
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
		failed(error);
		return undefined;
	}
}
