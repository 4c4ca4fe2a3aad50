import {Buffer} from 'node:buffer';
import {type LogEntry} from '../log-entry.js';
import {type ReplicaId} from '../replica-id.js';

/** Checks the safety properties against a single list of the entry committed at each index. */
export class Oracle {
	readonly committed: LogEntry[] = [];
	readonly #leaders = new Map<number, ReplicaId>();

	/** The last acknowledged index. */
	get lastIndex(): number {
		return this.committed.length;
	}

	/** Records a committed entry. Throws if a different entry was committed at its index, or if an index is skipped. */
	recordCommit(entry: LogEntry, by: ReplicaId): void {
		const existing = this.committed[entry.index - 1];
		if (!existing) {
			if (entry.index !== this.committed.length + 1) {
				throw new Error(`${by} committed entry ${entry.index} out of order: expected ${this.committed.length + 1}`);
			}

			this.committed.push(entry);
			return;
		}

		if (textOf(existing) !== textOf(entry)) {
			throw new Error(`${by} committed ${textOf(entry)}, but ${textOf(existing)} is already committed`);
		}
	}

	/** Records the leader of a term. Throws if the term has another leader. */
	recordLeader(term: number, id: ReplicaId): void {
		const existing = this.#leaders.get(term) ?? id;
		this.#leaders.set(term, existing);
		if (existing !== id) {
			throw new Error(`Term ${term} has two leaders: ${existing} and ${id}`);
		}
	}

	/** Throws if the commands of a restored state machine are not a prefix of the committed ones. */
	checkRestore(commands: readonly string[], lastIndex: number): void {
		const expected = commandsOf(this.committed.slice(0, lastIndex)).join(' ');
		if (lastIndex > this.lastIndex || commands.join(' ') !== expected) {
			throw new Error(`Snapshot at index ${lastIndex} contains ${commands.join(' ')}, expected ${expected}`);
		}
	}
}

/** Returns the commands among entries. */
export function commandsOf(entries: readonly LogEntry[]): readonly string[] {
	return entries.flatMap(({payload}) => payload.type === 'command' ? [Buffer.from(payload.data).toString()] : []);
}

function textOf({index, term, payload}: LogEntry): string {
	const detail = payload.type === 'command' ? Buffer.from(payload.data).toString() : JSON.stringify(payload);
	return `${index}@${term} ${detail}`;
}
