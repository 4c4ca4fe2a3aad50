import {
	type HardState, type LogEntry, type PersistAction, type ReplicaActions, type Snapshot,
} from '@valehitch/consensus';

/** The actions of several steps, combined so that they can be executed together. */
export class ActionBatch {
	readonly messages: Array<ReplicaActions['messages'][number]> = [];
	readonly committed: LogEntry[] = [];
	readonly accepted: Array<ReplicaActions['accepted'][number]> = [];
	readonly rejected: string[] = [];
	restore: Snapshot | undefined;
	readonly #entries: LogEntry[] = [];
	#hardState: HardState | undefined;
	#snapshot: Snapshot | undefined;
	#discardsLog = false;

	/** The combined data to persist before the other actions are executed. */
	get persist(): PersistAction | undefined {
		if (this.#hardState === undefined && this.#snapshot === undefined && this.#entries.length === 0) {
			return undefined;
		}

		return {
			hardState: this.#hardState, entries: this.#entries, snapshot: this.#snapshot, discardsLog: this.#discardsLog,
		};
	}

	/** Adds the actions of the next step. A step that discards the log must be the first of its batch. */
	add({persist, messages, committed, accepted, rejected, restore}: ReplicaActions): void {
		this.messages.push(...messages);
		this.committed.push(...committed);
		this.accepted.push(...accepted);
		this.rejected.push(...rejected);
		this.restore = restore ?? this.restore;
		this.#hardState = persist?.hardState ?? this.#hardState;
		this.#entries.push(...persist?.entries ?? []);
		this.#snapshot = persist?.snapshot ?? this.#snapshot;
		this.#discardsLog ||= persist?.discardsLog ?? false;
	}
}
