import {type ControlState} from '@valehitch/control';
import {type BillArchive} from './bill-archive.js';

/** The part of the control state that the archive works with. */
export type ArchivedState = Pick<ControlState, 'archivableBills' | 'billPositions' | 'dropArchived' | 'readLedger'>;

const batchSize = 500;

/**
Moves the oldest bills of the replicated state to the archive, once there are enough of them.

@param state The replicated state.
@param archive Where they go.
@throws If the disk fails; the bills stay in the state then.
@example
```ts
await archiveBills(state, archive);
```
*/
export async function archiveBills(state: ArchivedState, archive: BillArchive): Promise<void> {
	const page = state.archivableBills();
	if (page.bills.length < batchSize) {
		return;
	}

	await archive.append(page);
	state.dropArchived(page.firstPosition + page.bills.length - 1);
}
