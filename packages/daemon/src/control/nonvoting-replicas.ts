import {instanceOf, type ReplicaId} from '@valehitch/consensus';
import {type Clock} from '@valehitch/core';

/** The options of `NonvotingReplicas`. */
export type NonvotingReplicasOptions = {
	readonly clock: Clock;
	/** The instances with the control role, according to the settings. */
	readonly control: readonly string[];
};

const livenessMilliseconds = 2000;

/**
Tracks the replicas without a vote that have recently sent a join request, at most one per instance.

@example
```ts
const nonvoters = new NonvotingReplicas({clock, control});
nonvoters.recordJoin(replica, billsHeldUpTo);
```
*/
export class NonvotingReplicas {
	readonly #options: NonvotingReplicasOptions;
	readonly #joins = new Map<string, {readonly replica: ReplicaId; readonly billsHeldUpTo: number; readonly at: number}>();

	constructor(options: NonvotingReplicasOptions) {
		this.#options = options;
	}

	/** The replicas whose last join request is recent. */
	get live(): readonly ReplicaId[] {
		const oldest = this.#options.clock.monotonic() - livenessMilliseconds;
		return [...this.#joins.values()].filter(({at}) => at >= oldest).map(({replica}) => replica);
	}

	/**
	Returns the live replicas, without the learners that lack archived bills and so cannot be promoted yet.

	@param learners The current learners.
	@param billsArchivedUpTo The position up to which bills were removed from the state of the leader.
	@returns The replicas that can be added as a learner or promoted.
	*/
	eligible(learners: readonly ReplicaId[], billsArchivedUpTo: number): readonly ReplicaId[] {
		const lackingBills = new Set([...this.#joins.values()].filter(({billsHeldUpTo}) => billsHeldUpTo < billsArchivedUpTo).map(({replica}) => replica));
		return this.live.filter(replica => !learners.includes(replica) || !lackingBills.has(replica));
	}

	/**
	Records a join request. Instances without the control role are ignored.

	@param replica The replica that sent it.
	@param billsHeldUpTo The position up to which the replica has all bills.
	*/
	recordJoin(replica: ReplicaId, billsHeldUpTo: number): void {
		const instance = instanceOf(replica);
		if (this.#options.control.includes(instance)) {
			this.#joins.set(instance, {replica, billsHeldUpTo, at: this.#options.clock.monotonic()});
		}
	}
}
