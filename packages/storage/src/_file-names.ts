export const identityFileName = 'identity.json';
const numberDigits = 16;
const segmentPattern = /^log-(?<number>\d{16})\.segment$/v;
const snapshotPattern = /^state-(?<number>\d{16})\.snapshot$/v;

export function segmentFileName(sequence: number): string {
	return `log-${String(sequence).padStart(numberDigits, '0')}.segment`;
}

export function snapshotFileName(lastIndex: number): string {
	return `state-${String(lastIndex).padStart(numberDigits, '0')}.snapshot`;
}

export function temporaryFileName(name: string): string {
	return `${name}.temporary`;
}

/** Returns the sequence numbers of the segment files among the names, in ascending order. */
export function segmentSequences(names: readonly string[]): readonly number[] {
	return parseNumbers(names, segmentPattern);
}

/** Returns the last indexes of the snapshot files among the names, in ascending order. */
export function snapshotIndexes(names: readonly string[]): readonly number[] {
	return parseNumbers(names, snapshotPattern);
}

function parseNumbers(names: readonly string[], pattern: RegExp): readonly number[] {
	return names
		.map(name => pattern.exec(name)?.groups?.number)
		.filter(number => number !== undefined)
		.map(Number)
		.toSorted((left, right) => left - right);
}
