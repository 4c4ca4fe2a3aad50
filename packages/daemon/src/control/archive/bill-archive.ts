import {Buffer} from 'node:buffer';
import {createReadStream} from 'node:fs';
import {
	mkdir, open, readdir, readFile, truncate,
} from 'node:fs/promises';
import path from 'node:path';
import {createInterface} from 'node:readline';
import {type ArchivableBills, type LedgerPage, type LedgerQuery} from '@valehitch/control';
import {type Bill} from '@valehitch/core';

type Segment = {readonly first: number; last: number};
type Line = {readonly position: number; readonly bill: Bill};
type ReadPosition = {readonly segment: number; readonly position: number; readonly offset: number};
type ArchivedLine = {readonly text: string; readonly position: number; readonly segment: number; readonly end: number};

/** An inclusive range of positions that are missing in the archive. */
export type ArchiveGap = {readonly first: number; readonly last: number};

/** Which lines to read from the archive. */
export type ReadLinesOptions = {
	/** The position of the first bill. */
	readonly first: number;
	/** Reading ends after the line that reaches this number of bytes. */
	readonly bytes: number;
};

const billsPerSegment = 20_000;
const segmentNamePattern = /^bills-(?<first>\d{15})\.ndjson$/v;
const newlineByte = 0x0A;

/**
Stores the bills that were removed from the replicated state, in segment files with one line of JSON per bill. Bills are synced to disk before they are removed from the state.

@example
```ts
const archive = await BillArchive.open('/var/lib/valehitch/bills');
await archive.append(state.archivableBills());
state.dropArchived(archive.last);
```
*/
export class BillArchive {
	/**
	Opens the archive, and truncates an incomplete last line, which a crash can leave in a segment.

	@param folder The folder of the segments, which is created if it does not exist.
	@param firstBill The position of the first bill that the archive must contain; 1 by default, higher if operators have removed older bills.
	@returns The archive.
	@throws If the folder cannot be read or written.
	*/
	static async open(folder: string, firstBill = 1): Promise<BillArchive> {
		await mkdir(folder, {recursive: true});
		const segments: Segment[] = [];
		const names = await readdir(folder);
		for (const name of names.toSorted()) {
			const first = segmentNamePattern.exec(name)?.groups?.first;
			if (first !== undefined) {
				const count = await countLines(path.join(folder, name));
				segments.push({first: Number(first), last: Number(first) + count - 1});
			}
		}

		return new BillArchive(folder, {segments, firstBill});
	}

	readonly #folder: string;
	readonly #segments: Segment[];
	readonly #firstBill: number;
	/** Where the last call of `readLines` ended, so that the next one can continue there without scanning the segment. */
	#lastReadEnd: ReadPosition | undefined;
	/** The error of the first failed write. Afterwards the content of the file is unknown until a restart reads it again. */
	#writeError: unknown;

	private constructor(folder: string, {segments, firstBill}: {readonly segments: Segment[]; readonly firstBill: number}) {
		this.#folder = folder;
		this.#segments = segments;
		this.#firstBill = firstBill;
	}

	/** The position of the last archived bill, which is synced to disk; 0 if the archive is empty. */
	get last(): number {
		return this.#segments.at(-1)?.last ?? 0;
	}

	/**
	Finds the first gap in the archive before a position.

	@param position The position of the first bill in the replicated state.
	@returns The gap, or undefined if the archive contains all bills before the position.
	*/
	gapBefore(position: number): ArchiveGap | undefined {
		let next = this.#firstBill;
		for (const {first, last} of this.#segments) {
			if (first > next) {
				break;
			}

			next = Math.max(next, last + 1);
		}

		if (next >= position) {
			return undefined;
		}

		const following = this.#segments.find(({first}) => first > next);
		return {first: next, last: Math.min(position, following?.first ?? position) - 1};
	}

	/**
	Appends the bills that are not archived yet, and syncs them to disk.

	@param page The oldest bills of the replicated state.
	@throws If the write fails; the caller must not remove the bills from the state then.
	*/
	async append({firstPosition, bills}: ArchivableBills): Promise<void> {
		const newBills = bills.slice(Math.max(0, this.last + 1 - firstPosition));
		await this.#writeUnlessFailed(newBills, firstPosition + bills.length - newBills.length);
	}

	/**
	Writes bills into a gap, and syncs them to disk.

	@param page The bills, starting at the first position of the gap; those beyond its end are ignored.
	@param gap The gap that `gapBefore` returned.
	@throws If the write fails, or if the bills do not start at the first position of the gap.
	*/
	async fill({firstPosition, bills}: ArchivableBills, gap: ArchiveGap): Promise<void> {
		if (firstPosition !== gap.first) {
			throw new RangeError(`The bills start at position ${firstPosition}; expected ${gap.first}`);
		}

		await this.#writeUnlessFailed(bills.slice(0, gap.last + 1 - gap.first), firstPosition);
	}

	/**
	Reads a page of the archive.

	@param query The workspace, the position after which to read, and the page size.
	@returns The page. At the end of the archive, `next` is the position after which to continue in the replicated state.
	*/
	async read({workspace, after, limit}: LedgerQuery): Promise<LedgerPage> {
		// Bills that are archived during the read belong to the next page.
		const {last} = this;
		const bills: Bill[] = [];
		for await (const {text, position} of this.#lines(after + 1, last)) {
			const {bill} = JSON.parse(text) as Line;
			if (workspace === undefined || bill.workspace === workspace) {
				bills.push(bill);
			}

			if (bills.length === limit) {
				return {bills, archivedUpTo: last, next: position};
			}
		}

		return {bills, archivedUpTo: last, next: Math.max(after, last)};
	}

	/**
	Reads consecutive lines as they are stored on disk.

	@param options The first position and the size limit.
	@returns The lines, each with its newline; empty if the first one is missing.
	*/
	async readLines({first, bytes}: ReadLinesOptions): Promise<string> {
		const lines: string[] = [];
		let size = 0;
		for await (const {text, position, segment, end} of this.#lines(first, this.last)) {
			if (position !== first + lines.length || size >= bytes) {
				break;
			}

			lines.push(`${text}\n`);
			size += Buffer.byteLength(text) + 1;
			this.#lastReadEnd = {segment, position: position + 1, offset: end};
		}

		return lines.join('');
	}

	/** Yields the stored lines between two positions, each with its segment and its end offset in that segment. */
	async * #lines(first: number, last: number): AsyncGenerator<ArchivedLine> {
		const segments = this.#segments.filter(segment => segment.last >= first && segment.first <= last).map(segment => ({...segment}));
		for (const segment of segments) {
			const start = this.#readStart(segment.first, first);
			let {position, offset: end} = start;
			for await (const text of createInterface({input: createReadStream(this.#segmentPath(segment), {start: start.offset})})) {
				end += Buffer.byteLength(text) + 1;
				if (position >= first) {
					yield {
						text, position, segment: segment.first, end,
					};
				}

				if (position === segment.last) {
					// Later lines were not synced yet when the read started.
					break;
				}

				position++;
			}
		}
	}

	/** Returns where to start reading in a segment: at the end of the previous read if the position matches, otherwise at the start. */
	#readStart(segment: number, first: number): Pick<ReadPosition, 'position' | 'offset'> {
		const previous = this.#lastReadEnd;
		return previous?.segment === segment && previous.position === first ? previous : {position: segment, offset: 0};
	}

	async #writeUnlessFailed(bills: readonly Bill[], first: number): Promise<void> {
		if (bills.length === 0) {
			return;
		}

		if (this.#writeError !== undefined) {
			throw new Error('The archive cannot be written after a failed write; restart the daemon', {cause: this.#writeError});
		}

		try {
			await this.#write(bills, first);
		} catch (error) {
			this.#writeError = error;
			throw error;
		}
	}

	async #write(bills: readonly Bill[], first: number): Promise<void> {
		const segment = this.#segmentFor(first);
		const file = await open(this.#segmentPath(segment), 'a');
		try {
			await file.appendFile(bills.map((bill, index) => `${JSON.stringify({position: first + index, bill})}\n`).join(''));
			await file.sync();
		} finally {
			await file.close();
		}

		await this.#syncFolder();
		segment.last = first + bills.length - 1;
		if (!this.#segments.includes(segment)) {
			this.#segments.push(segment);
			this.#segments.sort((left, right) => left.first - right.first);
		}
	}

	/** Returns the segment to which to append a bill. A new one starts when the previous one is full, or after a gap, as on a replica that installed a snapshot. */
	#segmentFor(position: number): Segment {
		const previous = this.#segments.findLast(({first}) => first < position);
		if (previous?.last === position - 1 && position - previous.first < billsPerSegment) {
			return previous;
		}

		return {first: position, last: position - 1};
	}

	async #syncFolder(): Promise<void> {
		const folder = await open(this.#folder, 'r');
		try {
			await folder.sync();
		} finally {
			await folder.close();
		}
	}

	#segmentPath({first}: Segment): string {
		return path.join(this.#folder, `bills-${String(first).padStart(15, '0')}.ndjson`);
	}
}

async function countLines(file: string): Promise<number> {
	const bytes = await readFile(file);
	let lines = 0;
	let end = 0;
	for (let at = bytes.indexOf(newlineByte); at !== -1; at = bytes.indexOf(newlineByte, at + 1)) {
		lines++;
		end = at + 1;
	}

	if (end < bytes.byteLength) {
		await truncate(file, end);
	}

	return lines;
}
