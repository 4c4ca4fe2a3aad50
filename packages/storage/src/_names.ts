export const identityName = 'identity.json';
const digits = 16;
const segmentPattern = /^log-(?<number>\d{16})\.segment$/v;
const snapshotPattern = /^state-(?<number>\d{16})\.snapshot$/v;

export function segmentName(sequence: number): string {
	return `log-${String(sequence).padStart(digits, '0')}.segment`;
}

export function snapshotName(lastIndex: number): string {
	return `state-${String(lastIndex).padStart(digits, '0')}.snapshot`;
}

export function temporaryName(name: string): string {
	return `${name}.temporary`;
}

/** The sequence numbers of the segments among some names, in order. */
export function segmentSequences(names: readonly string[]): readonly number[] {
	return numbersOf(names, segmentPattern);
}

/** The last indexes of the snapshots among some names, in order. */
export function snapshotIndexes(names: readonly string[]): readonly number[] {
	return numbersOf(names, snapshotPattern);
}

function numbersOf(names: readonly string[], pattern: RegExp): readonly number[] {
	return names
		.map(name => pattern.exec(name)?.groups?.number)
		.filter(number => number !== undefined)
		.map(Number)
		.toSorted((left, right) => left - right);
}
