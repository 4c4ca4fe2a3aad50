import {type Bill, type RequestId} from '@valehitch/core';
import {type OpenBill} from '../messages.js';

/** A copy of a bill that another instance holds: open while the request is in progress, settled afterwards. */
export type BillCopy
	= | {readonly state: 'open'; readonly bill: OpenBill}
		| {readonly state: 'settled'; readonly bill: Bill};

/** Copies grouped by state, as they are sent to a holder. */
export type GroupedCopies = {
	readonly opened: OpenBill[];
	readonly settled: Bill[];
};

/**
Groups copies by state.

@param copies The copies.
@returns The open and the settled copies.
@example
```ts
const {opened, settled} = groupCopies(copies.values());
```
*/
export function groupCopies(copies: Iterable<BillCopy>): GroupedCopies {
	const grouped: GroupedCopies = {opened: [], settled: []};
	for (const copy of copies) {
		if (copy.state === 'open') {
			grouped.opened.push(copy.bill);
		} else {
			grouped.settled.push(copy.bill);
		}
	}

	return grouped;
}

/**
Adds copies to a map, by request. An open copy does not replace a settled one.

@param copies The map to update.
@param grouped The received copies.
@example
```ts
mergeCopies(copies, message);
```
*/
export function mergeCopies(copies: Map<RequestId, BillCopy>, grouped: Readonly<{opened: readonly OpenBill[]; settled: readonly Bill[]}>): void {
	for (const bill of grouped.opened) {
		if (copies.get(bill.request)?.state !== 'settled') {
			copies.set(bill.request, {state: 'open', bill});
		}
	}

	for (const bill of grouped.settled) {
		copies.set(bill.request, {state: 'settled', bill});
	}
}
