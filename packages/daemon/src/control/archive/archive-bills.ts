import {type ControlState} from '@valehitch/control';
import {type BillArchive} from './bill-archive.js';

/** The members of the control state that the archive uses. */
export type ArchivableState = Pick<ControlState, 'archivableBills' | 'billPositions' | 'dropArchived' | 'readLedger'>;

const minimumBatchSize = 500;

/**
Moves the oldest bills of the replicated state to the archive, if there are at least 500 that can be archived.

@param state The replicated state.
@param archive The archive.
@throws If the archive cannot be written; the bills then stay in the state.
@example
```ts
await archiveBills(state, archive);
```
*/
export async function archiveBills(state: ArchivableState, archive: BillArchive): Promise<void> {
	const page = state.archivableBills();
	if (page.bills.length < minimumBatchSize) {
		return;
	}

	await archive.append(page);
	state.dropArchived(page.firstPosition + page.bills.length - 1);
}
