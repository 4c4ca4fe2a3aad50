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
	@returns The archive.
	@throws If the folder cannot be read or written.
	*/
	static async open(folder: string): Promise<BillArchive> {
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

		return new BillArchive(folder, segments);
	}

	readonly #folder: string;
	readonly #segments: Segment[];
	/** Set once a write failed: what is in the file is known again only after a restart. */
	#failure: unknown;

	private constructor(folder: string, segments: Segment[]) {
		this.#folder = folder;
		this.#segments = segments;
	}

	/** The position of the last bill that is synced here; 0 while there is none. */
	get last(): number {
		return this.#segments.at(-1)?.last ?? 0;
	}

	/**
	Writes the bills that are not here yet, and syncs them.

	@param page The oldest bills of the replicated state.
	@throws If the disk fails; nothing may be dropped then.
	*/
	async append({firstPosition, bills}: ArchivableBills): Promise<void> {
		const fresh = bills.slice(Math.max(0, this.last + 1 - firstPosition));
		const first = firstPosition + bills.length - fresh.length;
		if (fresh.length === 0) {
			return;
		}

		if (this.#failure !== undefined) {
			throw new Error('Got bills after a failed write, wanted a restart', {cause: this.#failure});
		}

		try {
			await this.#write(fresh, first);
		} catch (error) {
			this.#failure = error;
			throw error;
		}
	}

	/**
	Reads a page of the archive.

	@param question The workspace, the position after which to read, and the size of the page.
	@returns The page; `next` goes on into the replicated state where the archive ends.
	*/
	async read({workspace, after, limit}: LedgerQuestion): Promise<LedgerPage> {
		const bills: Bill[] = [];
		for (const segment of this.#segments) {
			if (segment.last <= after) {
				continue;
			}

			for await (const text of createInterface({input: createReadStream(this.#nameOf(segment))})) {
				const {position, bill} = JSON.parse(text) as Line;
				if (position > after && (workspace === undefined || bill.workspace === workspace)) {
					bills.push(bill);
				}

				if (position === segment.last && bills.length < limit) {
					// What follows is not synced yet.
					break;
				}

				if (bills.length === limit) {
					return {bills, archivedUpTo: this.last, next: position};
				}
			}
		}

		return {bills, archivedUpTo: this.last, next: Math.max(after, this.last)};
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
	}

	/** The segment that a bill belongs to; a gap, as on a replica that got a snapshot, begins a new one. */
	#segmentFor(position: number): Segment {
		const last = this.#segments.at(-1);
		if (last?.last === position - 1 && position - last.first < billsPerSegment) {
			return last;
		}

		const segment: Segment = {first: position, last: position - 1};
		this.#segments.push(segment);
		return segment;
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
