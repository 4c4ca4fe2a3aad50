import {type Bill, type RequestId} from '@valehitch/core';
import {type OpenBill} from '../messages.js';

/** The copy of a bill that a second instance holds: open while its request is in progress, then settled. */
export type BillCopy
	= | {readonly state: 'open'; readonly bill: OpenBill}
		| {readonly state: 'settled'; readonly bill: Bill};

/** Copies as they go over a link. */
export type SplitCopies = {
	readonly opened: OpenBill[];
	readonly settled: Bill[];
};

/**
Splits copies by their state.

@param copies The copies.
@returns The open ones and the settled ones.
@example
```ts
const {opened, settled} = splitCopies(copies.values());
```
*/
export function splitCopies(copies: Iterable<BillCopy>): SplitCopies {
	const split: SplitCopies = {opened: [], settled: []};
	for (const copy of copies) {
		if (copy.state === 'open') {
			split.opened.push(copy.bill);
		} else {
			split.settled.push(copy.bill);
		}
	}

	return split;
}

/**
Puts copies under their requests.

@param copies Where they are put.
@param split The copies, as they came over a link.
@example
```ts
mergeCopies(copies, message);
```
*/
export function mergeCopies(copies: Map<RequestId, BillCopy>, split: Readonly<{opened: readonly OpenBill[]; settled: readonly Bill[]}>): void {
	for (const bill of split.opened) {
		if (copies.get(bill.request)?.state !== 'settled') {
			copies.set(bill.request, {state: 'open', bill});
		}
	}

	for (const bill of split.settled) {
		copies.set(bill.request, {state: 'settled', bill});
	}
}
