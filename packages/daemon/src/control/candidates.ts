import {instanceOf, type ReplicaId} from '@valehitch/consensus';
import {type Clock} from '@valehitch/core';

/** Which replicas count. */
export type CandidatesOptions = {
	readonly clock: Clock;
	/** The instances that the settings list with the control role. */
	readonly control: readonly string[];
};

const presentMilliseconds = 2000;

/**
The replicas without a vote that said lately that they are there, one an instance.

@example
```ts
const candidates = new Candidates({clock, control});
candidates.note(replica);
```
*/
export class Candidates {
	readonly #options: CandidatesOptions;
	readonly #seen = new Map<string, {readonly replica: ReplicaId; readonly billsHeldUpTo: number; readonly at: number}>();

	constructor(options: CandidatesOptions) {
		this.#options = options;
	}

	/** The replicas that are there. */
	get present(): readonly ReplicaId[] {
		const oldest = this.#options.clock.monotonic() - presentMilliseconds;
		return [...this.#seen.values()].filter(({at}) => at >= oldest).map(({replica}) => replica);
	}

	/**
	The replicas that are there, without the learners that lack bills: one of those is not promoted yet.

	@param learners The replicas that learn.
	@param billsArchivedUpTo The position up to which the bills are no longer in the leader's state.
	@returns The replicas.
	*/
	ready(learners: readonly ReplicaId[], billsArchivedUpTo: number): readonly ReplicaId[] {
		const lacking = new Set([...this.#seen.values()].filter(({billsHeldUpTo}) => billsHeldUpTo < billsArchivedUpTo).map(({replica}) => replica));
		return this.present.filter(replica => !learners.includes(replica) || !lacking.has(replica));
	}

	/**
	Notes that a replica is there.

	@param replica The replica.
	@param billsHeldUpTo The position up to which it has every bill.
	*/
	note(replica: ReplicaId, billsHeldUpTo: number): void {
		const instance = instanceOf(replica);
		if (this.#options.control.includes(instance)) {
			this.#seen.set(instance, {replica, billsHeldUpTo, at: this.#options.clock.monotonic()});
		}
	}
}
