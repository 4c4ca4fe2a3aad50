import {type LogEntry, type ReplicaSet, type Snapshot} from '@valehitch/consensus';
import {type Failure, failure} from '@valehitch/core';
import {type Either, Left} from 'purify-ts';
import {type CommittedActions} from './replica-driver.js';

/** The position of an entry in the log. */
export type LogPosition = {
	readonly term: number;
	readonly index: number;
};

/** State that changes only by applying the commands of the log in order. */
export type ReplicatedState<Command, Result> = {
	readonly apply: (command: Command, position: LogPosition) => Either<Failure, Result>;
	/** Serializes the whole state. */
	readonly toSnapshot: () => Uint8Array;
};

/** An applied command with its result. */
export type Applied<Command, Result> = LogPosition & {
	readonly command: Command;
	readonly result: Either<Failure, Result>;
	/** Whether the proposer is waiting for the result on this replica. */
	readonly isAwaited: boolean;
};

/** Options of a state machine. */
export type StateMachineOptions<Command, Result, State> = {
	/** Creates the state from a snapshot, or the initial state without one. */
	readonly create: (snapshot?: Uint8Array) => State;
	/** Decodes a command from the log. */
	readonly decode: (data: Uint8Array) => Command;
	/** Called after each command is applied. */
	readonly onApplied: (applied: Applied<Command, Result>) => void;
	/** Called with each replica set that is committed or restored from a snapshot. */
	readonly onReplicas: (replicas: ReplicaSet) => void;
};

type PendingProposal<Result> = {
	readonly settle: (result: Either<Failure, Result>) => void;
	position?: LogPosition;
};

const retryMilliseconds = 500;

/**
Applies the committed entries of the log to a replicated state, and passes the results to their proposers.

@example
```ts
const machine = new StateMachine({create, decode, onApplied, onReplicas});
```
*/
export class StateMachine<Command, Result, State extends ReplicatedState<Command, Result>> {
	readonly #options: StateMachineOptions<Command, Result, State>;
	#state: State;
	#appliedIndex = 0;
	#bytesSinceSnapshot = 0;
	#entriesSinceSnapshot = 0;
	readonly #pending = new Map<string, PendingProposal<Result>>();
	readonly #proposalsByIndex = new Map<number, string>();

	constructor(options: StateMachineOptions<Command, Result, State>) {
		this.#options = options;
		this.#state = options.create();
	}

	/** The state after the last applied entry. */
	get state(): State {
		return this.#state;
	}

	/** The index of the last applied entry. */
	get appliedIndex(): number {
		return this.#appliedIndex;
	}

	/** The number of proposals whose result is pending. */
	get pendingCount(): number {
		return this.#pending.size;
	}

	/** The amount of log applied since the last snapshot, which a restart would have to replay. */
	get sinceSnapshot(): {readonly entries: number; readonly bytes: number} {
		return {entries: this.#entriesSinceSnapshot, bytes: this.#bytesSinceSnapshot};
	}

	/**
	Waits for the result of a proposal; must be called before the proposal is pushed to the driver.

	@param proposalId The proposal.
	@returns The result, once the entry is applied, or a failure once it is known that no result will follow.
	*/
	async waitForResult(proposalId: string): Promise<Either<Failure, Result>> {
		return new Promise(settle => {
			this.#pending.set(proposalId, {settle});
		});
	}

	/**
	Stops waiting for the result of a proposal.

	@param proposalId The proposal.
	@param failed The failure that the proposer receives if the result is still pending.
	*/
	cancelWait(proposalId: string, failed: Failure): void {
		this.#settle(proposalId, Left(failed));
	}

	/**
	Applies the committed entries of a batch of steps.

	@param actions The batch.
	*/
	apply({accepted, rejected, restore, committed}: CommittedActions): void {
		for (const {proposalId, index, term} of accepted) {
			this.#recordAccepted(proposalId, {index, term});
		}

		for (const proposalId of rejected) {
			this.#settle(proposalId, Left(notLeaderFailure()));
		}

		if (restore !== undefined) {
			this.restore(restore);
		}

		for (const entry of committed) {
			this.#applyEntry(entry);
		}
	}

	/**
	Restores the state from a snapshot.

	@param snapshot The snapshot.
	*/
	restore({lastIndex, data, replicas}: Snapshot): void {
		this.#state = this.#options.create(lastIndex === 0 ? undefined : data);
		this.#appliedIndex = lastIndex;
		this.resetSnapshotCounters();
		this.#options.onReplicas(replicas);
		for (const [index, proposalId] of this.#proposalsByIndex) {
			if (index <= lastIndex) {
				this.#settle(proposalId, Left(unknownOutcome('The entry of the command was replaced by a snapshot, so that its result is unknown')));
			}
		}
	}

	/** Resets the counters of the log applied since the last snapshot. */
	resetSnapshotCounters(): void {
		this.#bytesSinceSnapshot = 0;
		this.#entriesSinceSnapshot = 0;
	}

	#recordAccepted(proposalId: string, position: LogPosition): void {
		const pending = this.#pending.get(proposalId);
		if (pending === undefined) {
			return;
		}

		// An entry of an older term at this index was truncated here; another replica may still have it and commit it.
		const earlier = this.#proposalsByIndex.get(position.index);
		if (earlier !== undefined) {
			this.#settle(earlier, Left(unknownOutcome('The entry of the command was truncated from the log, so that its result is unknown')));
		}

		pending.position = position;
		this.#proposalsByIndex.set(position.index, proposalId);
	}

	#applyEntry({index, term, payload}: LogEntry): void {
		this.#appliedIndex = index;
		this.#entriesSinceSnapshot++;
		const proposalId = this.#proposalsByIndex.get(index);
		if (payload.type === 'replica-set') {
			this.#options.onReplicas(payload.replicas);
		}

		if (payload.type === 'command') {
			this.#bytesSinceSnapshot += payload.data.byteLength;
			const command = this.#options.decode(payload.data);
			const result = this.#state.apply(command, {term, index});
			const isAwaited = proposalId !== undefined && this.#pending.get(proposalId)?.position?.term === term;
			if (isAwaited) {
				this.#settle(proposalId, result);
			}

			this.#options.onApplied({
				command, result, term, index, isAwaited,
			});
		}

		// Unless it was settled above, an entry of another leader was committed at the index of the proposal.
		if (proposalId !== undefined) {
			this.#settle(proposalId, Left(notLeaderFailure()));
		}
	}

	#settle(proposalId: string, result: Either<Failure, Result>): void {
		const pending = this.#pending.get(proposalId);
		if (pending === undefined) {
			return;
		}

		this.#pending.delete(proposalId);
		if (pending.position !== undefined && this.#proposalsByIndex.get(pending.position.index) === proposalId) {
			this.#proposalsByIndex.delete(pending.position.index);
		}

		pending.settle(result);
	}
}

function unknownOutcome(message: string): Failure {
	return failure('no-quorum', message, {outcome: 'unknown', retryAfterMilliseconds: retryMilliseconds});
}

function notLeaderFailure(): Failure {
	return failure('no-quorum', 'The command cannot be committed: this replica is not the leader', {retryAfterMilliseconds: retryMilliseconds});
}
