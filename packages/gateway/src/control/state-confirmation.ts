import {
	type Clock, type Failure, failure, type SuspensionDetector,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type ControlReplica} from './control-replica.js';

/** Options of the state confirmation. */
export type StateConfirmationOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly suspension: Pick<SuspensionDetector, 'lastWake'>;
	/** The running replica, or `undefined` while its disk is failing. */
	readonly replica: () => ControlReplica | undefined;
	/** Requests the commit index from the leader; resolves to `undefined` if no leader with a valid lease replied. */
	readonly readIndex: () => Promise<number | undefined>;
	/** Called on the first confirmation and on one that follows a gap. */
	readonly onReconfirmed: () => void;
};

/** How long a confirmation waits for the commit index to be applied locally. */
const applyTimeoutMilliseconds = 600;
/** After this time without a confirmation, in milliseconds, entry instances are notified of the next one immediately. */
const confirmationGapMilliseconds = 1000;
/** How long a read waits for the commit index to be applied locally; callers time out after one second. */
const readTimeoutMilliseconds = 700;
const retryMilliseconds = 300;

/**
Tracks when the state of this replica was last confirmed, by the leader's commit index, to be current.

@example
```ts
const confirmation = new StateConfirmation({clock, suspension, replica, readIndex, onReconfirmed});
await confirmation.confirm();
confirmation.confirmedAt;
```
*/
export class StateConfirmation {
	readonly #options: StateConfirmationOptions;
	#confirmedAt: number | undefined;

	constructor(options: StateConfirmationOptions) {
		this.#options = options;
	}

	/** When the state was last confirmed to be current, in milliseconds on the monotonic clock; `undefined` if it has not been confirmed since the process started or since the machine was last suspended, because a suspension makes its age unknown. */
	get confirmedAt(): number | undefined {
		return this.#confirmedAt === undefined || this.#confirmedAt < this.#options.suspension.lastWake() ? undefined : this.#confirmedAt;
	}

	/** Discards the confirmation: the data folder that is opened next may hold less than the confirmed state. */
	reset(): void {
		this.#confirmedAt = undefined;
	}

	/** Requests the commit index from the leader once, and waits until it is applied locally. */
	async confirm(): Promise<void> {
		const {clock, suspension, onReconfirmed} = this.#options;
		const startedAt = clock.monotonic();
		if (await this.#waitForCatchUp(startedAt + applyTimeoutMilliseconds) === undefined || startedAt < suspension.lastWake()) {
			return;
		}

		const isAfterGap = this.#confirmedAt === undefined || startedAt - this.#confirmedAt > confirmationGapMilliseconds;
		this.#confirmedAt = Math.max(startedAt, this.#confirmedAt ?? startedAt);
		if (isAfterGap) {
			onReconfirmed();
		}
	}

	/**
	Waits until this replica has applied everything that was committed when the call began, so that a subsequent read is linearizable.

	@returns The replica, or `no-quorum`.
	*/
	async newest(): Promise<Either<Failure, ControlReplica>> {
		const replica = await this.#waitForCatchUp(this.#options.clock.monotonic() + readTimeoutMilliseconds);
		if (replica === undefined) {
			return Left(failure('no-quorum', 'Cannot read the current state: the leader did not confirm the commit index in time', {retryAfterMilliseconds: retryMilliseconds}));
		}

		return Right(replica);
	}

	/** Resolves to the replica once it has applied the leader's commit index, or to `undefined` if it has not done so by the deadline on the monotonic clock. */
	async #waitForCatchUp(deadline: number): Promise<ControlReplica | undefined> {
		const {replica: currentReplica, readIndex} = this.#options;
		const replica = currentReplica();
		const index = await readIndex();
		return replica !== undefined && index !== undefined && await replica.applied(index, deadline) ? replica : undefined;
	}
}
