import {type LogEntry} from '@valehitch/consensus';

/** The log entries in memory while segments are replayed. The first entry may follow a snapshot. */
export class MemoryLog {
	#entries: LogEntry[] = [];
	#previousIndex = 0;

	/** The entries, with contiguous indexes. */
	get entries(): readonly LogEntry[] {
		return this.#entries;
	}

	get lastIndex(): number {
		return this.#entries.at(-1)?.index ?? this.#previousIndex;
	}

	/** Removes all entries; the next entry follows `previousIndex`. */
	reset(previousIndex: number): void {
		this.#entries = [];
		this.#previousIndex = previousIndex;
	}

	/** Appends an entry and discards existing entries at its index and after it; returns false if there would be a gap. */
	append(entry: LogEntry): boolean {
		if (entry.index > this.lastIndex + 1) {
			return false;
		}

		const firstIndex = this.#entries[0]?.index;
		if (firstIndex === undefined || entry.index < firstIndex) {
			this.#entries = [entry];
			this.#previousIndex = entry.index - 1;
			return true;
		}

		this.#entries.length = entry.index - firstIndex;
		this.#entries.push(entry);
		return true;
	}

	/** The term of the entry at an index; undefined if the log does not contain that entry. */
	termAt(index: number): number | undefined {
		const firstIndex = this.#entries[0]?.index ?? 0;
		return this.#entries[index - firstIndex]?.term;
	}
}
