import {Buffer} from 'node:buffer';
import {createReadStream} from 'node:fs';
import {
	mkdir, open, readdir, readFile, truncate,
} from 'node:fs/promises';
import path from 'node:path';
import {createInterface} from 'node:readline';
import {type ArchivableBills, type LedgerPage, type LedgerQuestion} from '@valehitch/control';
import {type Bill} from '@valehitch/core';

type Segment = {readonly first: number; last: number};
type Line = {readonly position: number; readonly bill: Bill};
type Bookmark = {readonly segment: number; readonly position: number; readonly offset: number};
type ArchivedLine = {readonly text: string; readonly position: number; readonly segment: number; readonly end: number};

/** Positions that are not in the archive, the first and the last of them included. */
export type ArchiveGap = {readonly first: number; readonly last: number};

/** How many bills of the archive are read in one piece. */
export type ReadLinesOptions = {
	/** The position of the first bill. */
	readonly first: number;
	/** The piece ends with the line that reaches this number of bytes. */
	readonly bytes: number;
};

const billsPerSegment = 20_000;
const namePattern = /^bills-(?<first>\d{15})\.ndjson$/v;
const lineEnd = 0x0A;

/**
The bills that left the replicated state, in segments of lines under the data folder; synced before they leave.

@example
```ts
const archive = await BillArchive.open('/var/lib/valehitch/bills');
await archive.append(state.archivableBills());
state.dropArchived(archive.last);
```
*/
export class BillArchive {
	/**
	Opens the archive, and cuts back a line that a crash left half written.

	@param folder Where the segments are; made where it is missing.
	@param firstBill The position of the first bill that must be here; 1 by default, later ones once operators took older bills away.
	@returns The archive.
	@throws If the folder cannot be read or written.
	*/
	static async open(folder: string, firstBill = 1): Promise<BillArchive> {
		await mkdir(folder, {recursive: true});
		const segments: Segment[] = [];
		const names = await readdir(folder);
		for (const name of names.toSorted()) {
			const first = namePattern.exec(name)?.groups?.first;
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
	/** Where the last piece for another replica ended, so that the next one need not search. */
	#bookmark: Bookmark | undefined;
	/** Set once a write failed: what is in the file is known again only after a restart. */
	#failure: unknown;

	private constructor(folder: string, {segments, firstBill}: {readonly segments: Segment[]; readonly firstBill: number}) {
		this.#folder = folder;
		this.#segments = segments;
		this.#firstBill = firstBill;
	}

	/** The position of the last bill that is synced here; 0 while there is none. */
	get last(): number {
		return this.#segments.at(-1)?.last ?? 0;
	}

	/**
	The first positions that are missing below a position.

	@param position Bills from here on are in the replicated state.
	@returns The gap; undefined where everything below the position is here.
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
	Writes the bills that are not here yet, and syncs them.

	@param page The oldest bills of the replicated state.
	@throws If the disk fails; nothing may be dropped then.
	*/
	async append({firstPosition, bills}: ArchivableBills): Promise<void> {
		const fresh = bills.slice(Math.max(0, this.last + 1 - firstPosition));
		await this.#writeOnce(fresh, firstPosition + bills.length - fresh.length);
	}

	/**
	Writes bills into a gap, and syncs them.

	@param page Bills that begin where the gap begins; those beyond its end are passed over.
	@param gap The gap, from `gapBefore`.
	@throws If the disk fails, or if the bills begin elsewhere.
	*/
	async fill({firstPosition, bills}: ArchivableBills, gap: ArchiveGap): Promise<void> {
		if (firstPosition !== gap.first) {
			throw new RangeError(`Got bills from position ${firstPosition}, wanted them from ${gap.first}`);
		}

		await this.#writeOnce(bills.slice(0, gap.last + 1 - gap.first), firstPosition);
	}

	/**
	Reads a page of the archive.

	@param question The workspace, the position after which to read, and the size of the page.
	@returns The page; `next` goes on into the replicated state where the archive ends.
	*/
	async read({workspace, after, limit}: LedgerQuestion): Promise<LedgerPage> {
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
	Reads lines without a gap between them, as they are on the disk.

	@param options Where to begin and how many.
	@returns The lines, each with its end; empty where the first is not here.
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
			this.#bookmark = {segment, position: position + 1, offset: end};
		}

		return lines.join('');
	}

	/** The lines from one position to another, each with its segment and the offset at which it ends there. */
	async * #lines(first: number, last: number): AsyncGenerator<ArchivedLine> {
		const segments = this.#segments.filter(segment => segment.last >= first && segment.first <= last).map(segment => ({...segment}));
		for (const segment of segments) {
			const start = this.#startIn(segment.first, first);
			let {position, offset: end} = start;
			for await (const text of createInterface({input: createReadStream(this.#nameOf(segment), {start: start.offset})})) {
				end += Buffer.byteLength(text) + 1;
				if (position >= first) {
					yield {
						text, position, segment: segment.first, end,
					};
				}

				if (position === segment.last) {
					// What follows was not synced when the read began.
					break;
				}

				position++;
			}
		}
	}

	/** Where to begin in a segment: where the last piece ended, or at its start. */
	#startIn(segment: number, first: number): Pick<Bookmark, 'position' | 'offset'> {
		const mark = this.#bookmark;
		return mark?.segment === segment && mark.position === first ? mark : {position: segment, offset: 0};
	}

	async #writeOnce(bills: readonly Bill[], first: number): Promise<void> {
		if (bills.length === 0) {
			return;
		}

		if (this.#failure !== undefined) {
			throw new Error('Got bills after a failed write, wanted a restart', {cause: this.#failure});
		}

		try {
			await this.#write(bills, first);
		} catch (error) {
			this.#failure = error;
			throw error;
		}
	}

	async #write(fresh: readonly Bill[], first: number): Promise<void> {
		const segment = this.#segmentFor(first);
		const file = await open(this.#nameOf(segment), 'a');
		try {
			await file.appendFile(fresh.map((bill, index) => `${JSON.stringify({position: first + index, bill})}\n`).join(''));
			await file.sync();
		} finally {
			await file.close();
		}

		await this.#syncFolder();
		segment.last = first + fresh.length - 1;
		if (!this.#segments.includes(segment)) {
			this.#segments.push(segment);
			this.#segments.sort((left, right) => left.first - right.first);
		}
	}

	/** The segment that a bill belongs to; a gap, as on a replica that got a snapshot, begins a new one. */
	#segmentFor(position: number): Segment {
		const before = this.#segments.findLast(({first}) => first < position);
		if (before?.last === position - 1 && position - before.first < billsPerSegment) {
			return before;
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

	#nameOf({first}: Segment): string {
		return path.join(this.#folder, `bills-${String(first).padStart(15, '0')}.ndjson`);
	}
}

async function countLines(file: string): Promise<number> {
	const bytes = await readFile(file);
	let lines = 0;
	let end = 0;
	for (let at = bytes.indexOf(lineEnd); at !== -1; at = bytes.indexOf(lineEnd, at + 1)) {
		lines++;
		end = at + 1;
	}

	if (end < bytes.byteLength) {
		await truncate(file, end);
	}

	return lines;
}
