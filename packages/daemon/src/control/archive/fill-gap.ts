import {type Either} from 'purify-ts';
import {type ArchivedPiece, openPiece} from './archived-piece.js';
import {type BillArchive} from './bill-archive.js';

/** What a gap is filled from. */
export type FillGapOptions = {
	/** Bills from here on are in the replicated state. */
	readonly before: number;
	/** Asks the other replicas one after the other for a piece that begins at a position. */
	readonly sources: ReadonlyArray<(first: number) => Promise<Either<unknown, ArchivedPiece>>>;
	/** Told of a piece that is not what was asked for. */
	readonly onDamage: (error: Error) => void;
};

/** What came of one step: nothing is missing, a piece was written, or no replica gave one. */
export type FillResult = 'complete' | 'progress' | 'stuck';

/**
Fetches one piece of the bills that are missing in the archive and writes it.

@param archive The archive.
@param options What is missing and who is asked.
@returns What came of it.
@throws If the disk fails.
@example
```ts
const result = await fillGap(archive, {before: 5001, sources, onDamage});
```
*/
export async function fillGap(archive: BillArchive, {before, sources, onDamage}: FillGapOptions): Promise<FillResult> {
	const gap = archive.gapBefore(before);
	if (gap === undefined) {
		return 'complete';
	}

	for (const ask of sources) {
		const reply = await ask(gap.first);
		const opened = reply.chain(piece => openPiece(piece, gap.first)).ifLeft(error => {
			if (error instanceof RangeError) {
				onDamage(error);
			}
		});
		const bills = opened.orDefault([]);
		if (bills.length > 0) {
			await archive.fill({firstPosition: gap.first, bills}, gap);
			return 'progress';
		}
	}

	return 'stuck';
}
