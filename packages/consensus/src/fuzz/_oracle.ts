import {Buffer} from 'node:buffer';
import {type LogEntry} from '../log-entry.js';
import {type ReplicaId} from '../replica-id.js';

/** What must hold, judged with one list: the entry that was committed at each index. */
export class Oracle {
	readonly chosen: LogEntry[] = [];
	readonly #leaders = new Map<number, ReplicaId>();

	/** The last index that was acknowledged. */
	get lastIndex(): number {
		return this.chosen.length;
	}

	/** Two entries must never be committed at one index, nor an index be left out. */
	commit(entry: LogEntry, by: ReplicaId): void {
		const known = this.chosen[entry.index - 1];
		if (!known) {
			if (entry.index !== this.chosen.length + 1) {
				throw new Error(`Got entry ${entry.index} committed by ${by}, wanted ${this.chosen.length + 1}`);
			}

			this.chosen.push(entry);
			return;
		}

		if (textOf(known) !== textOf(entry)) {
			throw new Error(`Got ${textOf(entry)} committed by ${by}, wanted ${textOf(known)}`);
		}
	}

	/** One term must have one leader. */
	lead(term: number, id: ReplicaId): void {
		const known = this.#leaders.get(term) ?? id;
		this.#leaders.set(term, known);
		if (known !== id) {
			throw new Error(`Got ${id} as the leader of term ${term}, wanted ${known} alone`);
		}
	}

	/** A state machine restored from a snapshot must hold a prefix of the list. */
	restore(commands: readonly string[], lastIndex: number): void {
		const wanted = commandsOf(this.chosen.slice(0, lastIndex)).join(' ');
		if (lastIndex > this.lastIndex || commands.join(' ') !== wanted) {
			throw new Error(`Got a snapshot at ${lastIndex} with ${commands.join(' ')}, wanted ${wanted}`);
		}
	}
}

/** The commands among entries. */
export function commandsOf(entries: readonly LogEntry[]): readonly string[] {
	return entries.flatMap(({payload}) => payload.type === 'command' ? [Buffer.from(payload.data).toString()] : []);
}

function textOf({index, term, payload}: LogEntry): string {
	const detail = payload.type === 'command' ? Buffer.from(payload.data).toString() : JSON.stringify(payload);
	return `${index}@${term} ${detail}`;
}
