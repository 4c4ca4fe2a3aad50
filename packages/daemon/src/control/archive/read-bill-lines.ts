import {type ArchivableState} from './archive-bills.js';
import {type BillArchive, type ReadLinesOptions} from './bill-archive.js';

/** The places where a replica stores bills. */
export type BillStores = {
	readonly archive: BillArchive;
	readonly state: ArchivableState;
};

const maximumBills = 500;

/**
Reads consecutive lines from the archive, or from the replicated state if the archive does not contain the first one.

@param options The first position and the size limit.
@param stores The archive and the replicated state.
@returns The lines; empty if the replica does not have the first one.
@example
```ts
const lines = await readBillLines({first: 1, bytes: 65_536}, {archive, state});
```
*/
export async function readBillLines({first, bytes}: ReadLinesOptions, {archive, state}: BillStores): Promise<string> {
	const archived = await archive.readLines({first, bytes});
	if (archived !== '' || first < state.billPositions.first) {
		return archived;
	}

	const {bills} = state.readLedger({after: first - 1, limit: maximumBills});
	return bills.map((bill, index) => `${JSON.stringify({position: first + index, bill})}\n`).join('');
}
