import {type Bill} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {sha256} from '../../digest.js';

/** A chunk of consecutive bills that one replica sends to another. */
export type BillChunk = {
	/** One line of JSON per bill, for consecutive positions; empty if the sender does not have the first one. */
	readonly lines: string;
	/** The SHA-256 digest of the lines. */
	readonly digest: string;
};

type Line = {readonly position: number; readonly bill: Bill};

/**
Creates a chunk from lines and their digest.

@param lines The lines.
@returns The chunk.
@example
```ts
const chunk = createBillChunk(await archive.readLines({first: 1, bytes: 65_536}));
```
*/
export function createBillChunk(lines: string): BillChunk {
	return {lines, digest: sha256(lines)};
}

/**
Verifies a received chunk and parses its bills.

@param chunk The chunk that another replica sent.
@param first The requested position of the first bill.
@returns The bills, or an error if the digest or a position is wrong.
@example
```ts
const bills = parseBillChunk(chunk, 1);
```
*/
export function parseBillChunk({lines, digest}: BillChunk, first: number): Either<Error, readonly Bill[]> {
	const actualDigest = sha256(lines);
	if (actualDigest !== digest) {
		return Left(new RangeError(`The lines have the digest ${actualDigest}; expected ${digest}`));
	}

	const bills: Bill[] = [];
	for (const text of lines.split('\n').slice(0, -1)) {
		const {position, bill} = JSON.parse(text) as Line;
		if (position !== first + bills.length) {
			return Left(new RangeError(`The chunk contains a bill at position ${position}; expected position ${first + bills.length}`));
		}

		bills.push(bill);
	}

	return Right(bills);
}
