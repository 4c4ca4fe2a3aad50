import {type LogEntry} from '@valehitch/consensus';

/** The entries of a log as they stand after some records; entries may begin after a snapshot. */
export class MemoryLog {
	#entries: LogEntry[] = [];
	#previousIndex = 0;

	/** The entries, without gaps. */
	get entries(): readonly LogEntry[] {
		return this.#entries;
	}

	get lastIndex(): number {
		return this.#entries.at(-1)?.index ?? this.#previousIndex;
	}

	/** Forgets everything; the log goes on after an index. */
	reset(previousIndex: number): void {
		this.#entries = [];
		this.#previousIndex = previousIndex;
	}

	/** Takes an entry, which replaces the ones at its index and after; false where it would leave a gap. */
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

	/** The term of the entry at an index, where it is here. */
	termAt(index: number): number | undefined {
		const firstIndex = this.#entries[0]?.index ?? 0;
		return this.#entries[index - firstIndex]?.term;
	}
}
