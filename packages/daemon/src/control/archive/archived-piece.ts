import {type Bill} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {sha256} from '../../digest.js';

/** A piece of the archived bills, as it travels between two replicas. */
export type ArchivedPiece = {
	/** One line of JSON a bill, without gaps; empty where the asked replica does not have the first. */
	readonly lines: string;
	/** The SHA-256 digest of the lines. */
	readonly digest: string;
};

type Line = {readonly position: number; readonly bill: Bill};

/**
Seals lines with their digest.

@param lines The lines.
@returns The piece.
@example
```ts
const piece = sealPiece(await archive.readLines({first: 1, bytes: 65_536}));
```
*/
export function sealPiece(lines: string): ArchivedPiece {
	return {lines, digest: sha256(lines)};
}

/**
Checks a piece and reads its bills.

@param piece What another replica sent.
@param first The position that was asked for.
@returns The bills, or what is wrong with the piece.
@example
```ts
const bills = openPiece(piece, 1);
```
*/
export function openPiece({lines, digest}: ArchivedPiece, first: number): Either<Error, readonly Bill[]> {
	const found = sha256(lines);
	if (found !== digest) {
		return Left(new RangeError(`Got lines with the digest ${found}, wanted ${digest}`));
	}

	const bills: Bill[] = [];
	for (const text of lines.split('\n').slice(0, -1)) {
		const {position, bill} = JSON.parse(text) as Line;
		if (position !== first + bills.length) {
			return Left(new RangeError(`Got a bill at position ${position}, wanted position ${first + bills.length}`));
		}

		bills.push(bill);
	}

	return Right(bills);
}
