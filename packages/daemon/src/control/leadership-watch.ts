import {
	isLeader, leaseValidUntil, type ReplicaId, type ReplicaSet, type ReplicaState,
} from '@valehitch/consensus';
import {type TimelineEventName} from '@valehitch/core';
import {type DaemonBase} from '../daemon-base.js';

/**
Records on the time line when this replica begins and ceases to lead, and which replicas a leader took in and removed.

@example
```ts
const watch = new LeadershipWatch(base);
watch.note(driver.state);
```
*/
export class LeadershipWatch {
	readonly #base: Pick<DaemonBase, 'clock' | 'timeline' | 'log'>;
	#leadsTerm: number | undefined;
	#isLeader = false;
	#voters: readonly ReplicaId[] = [];

	constructor(base: Pick<DaemonBase, 'clock' | 'timeline' | 'log'>) {
		this.#base = base;
	}

	/**
	Compares the replica with what it was before.

	@param state The replica.
	*/
	note(state: ReplicaState): void {
		this.#isLeader = isLeader(state);
		const until = leaseValidUntil(state);
		const holdsLease = until !== undefined && this.#base.clock.monotonic() < until;
		const {term} = state.hardState;
		if (this.#leadsTerm !== undefined && (!holdsLease || this.#leadsTerm !== term)) {
			this.#base.timeline.record('leader-lease-lost', {term: this.#leadsTerm});
			this.#leadsTerm = undefined;
		}

		if (holdsLease && this.#leadsTerm === undefined) {
			this.#base.timeline.record('leader-elected', {term});
			this.#leadsTerm = term;
		}
	}

	/**
	Compares a committed replica set with the one before.

	@param replicas The replica set.
	*/
	noteReplicas({voters}: ReplicaSet): void {
		this.#record('replica-added', voters.filter(replica => !this.#voters.includes(replica)));
		this.#record('replica-removed', this.#voters.filter(replica => !voters.includes(replica)));
		this.#voters = voters;
	}

	#record(event: TimelineEventName, replicas: readonly ReplicaId[]): void {
		if (!this.#isLeader) {
			return;
		}

		for (const replica of replicas) {
			this.#base.timeline.record(event, {details: {replica}});
		}
	}
}
