import {type Either} from 'purify-ts';
import {type BillChunk, parseBillChunk} from './bill-chunk.js';
import {type BillArchive} from './bill-archive.js';

/** The options of `fillGap`. */
export type FillGapOptions = {
	/** The position of the first bill in the replicated state. */
	readonly before: number;
	/** Functions that request a chunk from another replica, starting at a position; tried in order. */
	readonly sources: ReadonlyArray<(first: number) => Promise<Either<unknown, BillChunk>>>;
	/** Called with the error of each chunk that fails verification. */
	readonly onInvalidChunk: (error: Error) => void;
};

/** The result of one step: `complete` if no bills are missing, `progress` if a chunk was written, and `stuck` if no replica returned a valid one. */
export type FillResult = 'complete' | 'progress' | 'stuck';

/**
Fetches one chunk of the bills that are missing in the archive from another replica, and writes it.

@param archive The archive.
@param options The end of the range to check and the replicas to request bills from.
@returns The result of this step.
@throws If the archive cannot be written.
@example
```ts
const result = await fillGap(archive, {before: 5001, sources, onInvalidChunk});
```
*/
export async function fillGap(archive: BillArchive, {before, sources, onInvalidChunk}: FillGapOptions): Promise<FillResult> {
	const gap = archive.gapBefore(before);
	if (gap === undefined) {
		return 'complete';
	}

	for (const requestChunk of sources) {
		const reply = await requestChunk(gap.first);
		const parsed = reply.chain(chunk => parseBillChunk(chunk, gap.first)).ifLeft(error => {
			if (error instanceof RangeError) {
				onInvalidChunk(error);
			}
		});
		const bills = parsed.orDefault([]);
		if (bills.length > 0) {
			await archive.fill({firstPosition: gap.first, bills}, gap);
			return 'progress';
		}
	}

	return 'stuck';
}
