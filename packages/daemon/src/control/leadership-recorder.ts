import {
	isLeader, leaseValidUntil, type ReplicaId, type ReplicaSet, type ReplicaState,
} from '@valehitch/consensus';
import {type TimelineEventName} from '@valehitch/core';
import {type DaemonBase} from '../daemon-base.js';

/**
Records on the timeline when this replica gains and loses leadership and, as the leader, which voters are added and removed.

@example
```ts
const recorder = new LeadershipRecorder(base);
recorder.update(driver.state);
```
*/
export class LeadershipRecorder {
	readonly #base: Pick<DaemonBase, 'clock' | 'timeline' | 'log'>;
	#ledTerm: number | undefined;
	#isLeader = false;
	#voters: readonly ReplicaId[] = [];

	constructor(base: Pick<DaemonBase, 'clock' | 'timeline' | 'log'>) {
		this.#base = base;
	}

	/**
	Records a change of the leadership since the previous call.

	@param state The current state of the replica.
	*/
	update(state: ReplicaState): void {
		this.#isLeader = isLeader(state);
		const until = leaseValidUntil(state);
		const holdsLease = until !== undefined && this.#base.clock.monotonic() < until;
		const {term} = state.hardState;
		if (this.#ledTerm !== undefined && (!holdsLease || this.#ledTerm !== term)) {
			this.#base.timeline.record('leader-lease-lost', {term: this.#ledTerm});
			this.#ledTerm = undefined;
		}

		if (holdsLease && this.#ledTerm === undefined) {
			this.#base.timeline.record('leader-elected', {term});
			this.#ledTerm = term;
		}
	}

	/**
	Records the changes from the previously committed replica set.

	@param replicas The committed replica set.
	*/
	updateReplicas({voters}: ReplicaSet): void {
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
