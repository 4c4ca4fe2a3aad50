import {type LogEntry, type ReplicaSet, type Snapshot} from '@valehitch/consensus';
import {type Failure, failure} from '@valehitch/core';
import {type Either, Left} from 'purify-ts';
import {type CommittedActions} from './replica-driver.js';

/** Where an entry stands in the log. */
export type LogPosition = {
	readonly term: number;
	readonly index: number;
};

/** State that changes only by the commands of the log, in their order. */
export type ReplicatedState<Command, Answer> = {
	readonly apply: (command: Command, position: LogPosition) => Either<Failure, Answer>;
	/** The whole state as bytes. */
	readonly toSnapshot: () => Uint8Array;
};

/** One command that was applied. */
export type Applied<Command, Answer> = LogPosition & {
	readonly command: Command;
	readonly result: Either<Failure, Answer>;
	/** Whether its proposer waits for the result on this replica. */
	readonly isAwaited: boolean;
};

/** What the state machine applies, and what it tells. */
export type StateMachineOptions<Command, Answer, State> = {
	/** Gives the state of a log without entries, or that of a snapshot. */
	readonly create: (snapshot?: Uint8Array) => State;
	/** Reads a command of the log. */
	readonly decode: (data: Uint8Array) => Command;
	/** Told of each command, after it was applied. */
	readonly onApplied: (applied: Applied<Command, Answer>) => void;
	/** Told of each replica set that was committed. */
	readonly onReplicas: (replicas: ReplicaSet) => void;
};

type Waiting<Answer> = {
	readonly settle: (result: Either<Failure, Answer>) => void;
	position?: LogPosition;
};

const retryMilliseconds = 500;

/**
Applies the committed entries of the log to a replicated state, and hands each proposer its result.

@example
```ts
const machine = new StateMachine({create, decode, onApplied, onReplicas});
```
*/
export class StateMachine<Command, Answer, State extends ReplicatedState<Command, Answer>> {
	readonly #options: StateMachineOptions<Command, Answer, State>;
	#state: State;
	#appliedIndex = 0;
	#bytesSinceSnapshot = 0;
	#entriesSinceSnapshot = 0;
	readonly #waiting = new Map<string, Waiting<Answer>>();
	readonly #byIndex = new Map<number, string>();

	constructor(options: StateMachineOptions<Command, Answer, State>) {
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

	/** How many proposals wait for their result. */
	get waitingCount(): number {
		return this.#waiting.size;
	}

	/** How much log a restart would have to read again. */
	get sinceSnapshot(): {readonly entries: number; readonly bytes: number} {
		return {entries: this.#entriesSinceSnapshot, bytes: this.#bytesSinceSnapshot};
	}

	/**
	Waits for the result of a proposal.

	@param proposalId The proposal, which is not pushed yet.
	@returns Its result, once its entry was applied or is known to be lost.
	*/
	async resultOf(proposalId: string): Promise<Either<Failure, Answer>> {
		return new Promise(settle => {
			this.#waiting.set(proposalId, {settle});
		});
	}

	/**
	Ends the wait for a proposal.

	@param proposalId The proposal.
	@param failed What its proposer gets, where no result came before.
	*/
	giveUp(proposalId: string, failed: Failure): void {
		this.#settle(proposalId, Left(failed));
	}

	/**
	Applies what a batch of steps committed.

	@param actions The batch.
	*/
	apply({accepted, rejected, restore, committed}: CommittedActions): void {
		for (const {proposalId, index, term} of accepted) {
			this.#noteAccepted(proposalId, {index, term});
		}

		for (const proposalId of rejected) {
			this.#settle(proposalId, Left(notLeader()));
		}

		if (restore !== undefined) {
			this.restore(restore);
		}

		for (const entry of committed) {
			this.#applyEntry(entry);
		}
	}

	/**
	Replaces the state by a snapshot.

	@param snapshot The snapshot.
	*/
	restore({lastIndex, data, replicas}: Snapshot): void {
		this.#state = this.#options.create(lastIndex === 0 ? undefined : data);
		this.#appliedIndex = lastIndex;
		this.snapshotTaken();
		this.#options.onReplicas(replicas);
		for (const [index, proposalId] of this.#byIndex) {
			if (index <= lastIndex) {
				this.#settle(proposalId, Left(unknownOutcome('Got a snapshot in place of the entry of the command, wanted its result')));
			}
		}
	}

	/** Begins to count anew how much log was applied. */
	snapshotTaken(): void {
		this.#bytesSinceSnapshot = 0;
		this.#entriesSinceSnapshot = 0;
	}

	#noteAccepted(proposalId: string, position: LogPosition): void {
		const waiting = this.#waiting.get(proposalId);
		if (waiting === undefined) {
			return;
		}

		// An entry of an older term was cut from the log here; another replica may still hold it and get it committed.
		const earlier = this.#byIndex.get(position.index);
		if (earlier !== undefined) {
			this.#settle(earlier, Left(unknownOutcome('Got the entry of the command cut from the log, wanted its result')));
		}

		waiting.position = position;
		this.#byIndex.set(position.index, proposalId);
	}

	#applyEntry({index, term, payload}: LogEntry): void {
		this.#appliedIndex = index;
		this.#entriesSinceSnapshot++;
		const proposalId = this.#byIndex.get(index);
		if (payload.type === 'replica-set') {
			this.#options.onReplicas(payload.replicas);
		}

		if (payload.type === 'command') {
			this.#bytesSinceSnapshot += payload.data.byteLength;
			const command = this.#options.decode(payload.data);
			const result = this.#state.apply(command, {term, index});
			const isAwaited = proposalId !== undefined && this.#waiting.get(proposalId)?.position?.term === term;
			if (isAwaited) {
				this.#settle(proposalId, result);
			}

			this.#options.onApplied({
				command, result, term, index, isAwaited,
			});
		}

		// The entry of another leader stands where the proposal would have stood.
		if (proposalId !== undefined) {
			this.#settle(proposalId, Left(notLeader()));
		}
	}

	#settle(proposalId: string, result: Either<Failure, Answer>): void {
		const waiting = this.#waiting.get(proposalId);
		if (waiting === undefined) {
			return;
		}

		this.#waiting.delete(proposalId);
		if (waiting.position !== undefined && this.#byIndex.get(waiting.position.index) === proposalId) {
			this.#byIndex.delete(waiting.position.index);
		}

		waiting.settle(result);
	}
}

function unknownOutcome(message: string): Failure {
	return failure('no-quorum', message, {outcome: 'unknown', retryAfterMilliseconds: retryMilliseconds});
}

function notLeader(): Failure {
	return failure('no-quorum', 'Got a command on a replica that does not lead, wanted it on the leader', {retryAfterMilliseconds: retryMilliseconds});
}
