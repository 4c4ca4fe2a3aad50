import {
	type Clock, type Failure, failure, type SuspensionWatch,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type ControlGroup} from './control-group.js';

/** What the confirmation of the state needs. */
export type StateConfirmationOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly suspension: Pick<SuspensionWatch, 'lastWake'>;
	/** The replica; undefined while its disk fails. */
	readonly group: () => ControlGroup | undefined;
	/** Asks the leader for the newest committed index; undefined where it gave no word under its lease. */
	readonly newestIndex: () => Promise<number | undefined>;
	/** Told of a confirmation after a time without one. */
	readonly onRegained: () => void;
};

/** How long a confirmation waits to be applied here. */
const applyMilliseconds = 600;
/** After this time without a confirmation entry instances are told of the next one at once, in milliseconds. */
const regainedMilliseconds = 1000;
/** How long a read waits to be applied here; a caller gives up after a second. */
const readMilliseconds = 700;
const retryMilliseconds = 300;

/**
Knows when the state of this replica was last sure to be the newest, by the word of the leader.

@example
```ts
const confirmation = new StateConfirmation({clock, suspension, group, newestIndex, onRegained});
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

	/** When the state was last known to be the newest, in milliseconds on the monotonic clock; undefined where it never was, or not since the machine was suspended: its age is not known then. */
	get confirmedAt(): number | undefined {
		return this.#confirmedAt === undefined || this.#confirmedAt < this.#options.suspension.lastWake() ? undefined : this.#confirmedAt;
	}

	/** Forgets the confirmation: the folder that is opened next may hold less than what was confirmed before. */
	forget(): void {
		this.#confirmedAt = undefined;
	}

	/** Asks the leader once, and waits until what it names is applied here. */
	async confirm(): Promise<void> {
		const {clock, suspension, onRegained} = this.#options;
		const began = clock.monotonic();
		if (await this.#caughtUp(began + applyMilliseconds) === undefined || began < suspension.lastWake()) {
			return;
		}

		const isRegained = this.#confirmedAt === undefined || began - this.#confirmedAt > regainedMilliseconds;
		this.#confirmedAt = Math.max(began, this.#confirmedAt ?? began);
		if (isRegained) {
			onRegained();
		}
	}

	/**
	Waits until this replica has applied all that was committed when the call began.

	@returns The replica, or `no-quorum`.
	*/
	async newest(): Promise<Either<Failure, ControlGroup>> {
		const replica = await this.#caughtUp(this.#options.clock.monotonic() + readMilliseconds);
		if (replica === undefined) {
			return Left(failure('no-quorum', 'Got no word of the leader about the newest index, wanted it for a read', {retryAfterMilliseconds: retryMilliseconds}));
		}

		return Right(replica);
	}

	/** The replica once it has applied what the leader names as newest; undefined where that did not come about by a time on the monotonic clock. */
	async #caughtUp(until: number): Promise<ControlGroup | undefined> {
		const {group, newestIndex} = this.#options;
		const replica = group();
		const index = await newestIndex();
		return replica !== undefined && index !== undefined && await replica.applied(index, until) ? replica : undefined;
	}
}
