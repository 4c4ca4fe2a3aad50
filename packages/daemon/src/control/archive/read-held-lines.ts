import {type ArchivedState} from './archive-bills.js';
import {type BillArchive, type ReadLinesOptions} from './bill-archive.js';

/** Where the bills of a replica are. */
export type HeldBills = {
	readonly archive: BillArchive;
	readonly state: ArchivedState;
};

const mostBills = 500;

/**
Reads lines without a gap from the archive, or from the replicated state where the archive does not reach.

@param options Where to begin and how many.
@param held Where the bills are.
@returns The lines; empty where the replica does not have the first.
@example
```ts
const lines = await readHeldLines({first: 1, bytes: 65_536}, {archive, state});
```
*/
export async function readHeldLines({first, bytes}: ReadLinesOptions, {archive, state}: HeldBills): Promise<string> {
	const archived = await archive.readLines({first, bytes});
	if (archived !== '' || first < state.billPositions.first) {
		return archived;
	}

	const {bills} = state.readLedger({after: first - 1, limit: mostBills});
	return bills.map((bill, index) => `${JSON.stringify({position: first + index, bill})}\n`).join('');
}
