import {
	confirmContact, createReplica, type CreateReplicaOptions, type HardState, type ReplicaActions, type ReplicaEvent, type ReplicaId, type ReplicaMessage, type ReplicaState, step,
} from '@valehitch/consensus';
import {type Clock, type Failure, failure} from '@valehitch/core';
import {type DataFolder} from '@valehitch/storage';
import {ActionBatch} from './_action-batch.js';

/** The factor by which the maximum write time decays with each further write, so that a slow write no longer counts after about a dozen others. */
const persistDecay = 0.8;

/** Options of a replica driver. */
export type ReplicaDriverOptions = {
	/** The initial state of the replica. */
	readonly replica: CreateReplicaOptions;
	readonly folder: DataFolder;
	readonly clock: Clock;
	/** Sends a message to another replica; delivery is not guaranteed. */
	readonly send: (to: ReplicaId, message: ReplicaMessage) => void;
	/** Applies committed actions, in order, after they are written to disk. */
	readonly apply: (actions: CommittedActions) => void;
	/** Called after each batch of steps is written to disk. */
	readonly onStepsCompleted: (state: ReplicaState) => void;
	/** Called once, with the reason, when the replica stops permanently. */
	readonly onFailure: (failed: Failure) => void;
};

/** The part of a batch of steps that the state machine applies. */
export type CommittedActions = Pick<ReplicaActions, 'accepted' | 'rejected' | 'restore' | 'committed'>;

/**
Drives a replica: collects events, runs a step for each, persists the results with one disk sync, and then sends messages and applies committed entries. Meanwhile, heartbeats of the leader are answered without waiting for the disk.

@example
```ts
const driver = new ReplicaDriver(options);
driver.push({type: 'tick'});
```
*/
export class ReplicaDriver {
	readonly #options: ReplicaDriverOptions;
	#state: ReplicaState;
	#events: ReplicaEvent[] = [];
	#running: Promise<void> | undefined;
	/** The maximum recent write time, which decays with each write. */
	#persistMilliseconds = 0;
	#persistedHardState: HardState;
	#isWriting = false;
	#isStopped = false;

	constructor(options: ReplicaDriverOptions) {
		this.#options = options;
		this.#state = createReplica(options.replica, options.clock.monotonic());
		this.#persistedHardState = this.#state.hardState;
	}

	/** The state after the last step. */
	get state(): ReplicaState {
		return this.#state;
	}

	/**
	Queues an event; its step runs after the previous steps are written to disk.

	@param event The event.
	*/
	push(event: ReplicaEvent): void {
		if (!this.#isStopped) {
			this.#events.push(event);
			this.#confirmContact(event);
			this.#startProcessing();
		}
	}

	/** Rejects further events, and waits until the steps in progress are written to disk. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await this.#running;
	}

	/** Confirms contact with the leader if the disk is busy, so that the leader's lease does not depend on it. */
	#confirmContact(event: ReplicaEvent): void {
		if (!this.#isWriting || event.type !== 'message' || event.message.type !== 'append-request') {
			return;
		}

		const {from, message: request} = event;
		const contact = confirmContact(this.#state, {
			from, request, persistedHardState: this.#persistedHardState, now: this.#options.clock.monotonic(),
		});
		if (contact !== undefined) {
			this.#state = contact.state;
			this.#options.send(from, contact.reply);
		}
	}

	#startProcessing(): void {
		this.#running ??= this.#processEvents();
	}

	async #processEvents(): Promise<void> {
		// Events that arrive in the same turn of the event loop are processed in the same batch.
		await Promise.resolve();
		try {
			while (!this.#isStopped && this.#events.length > 0) {
				await this.#runSteps(orderEvents(this.#events.splice(0), this.#persistMilliseconds));
			}
		} catch (error) {
			this.#fail(failure('internal', error instanceof Error ? error.message : String(error)));
		}

		this.#running = undefined;
	}

	async #runSteps(events: readonly ReplicaEvent[]): Promise<void> {
		const {clock} = this.#options;
		let batch = new ActionBatch();
		for (const event of events) {
			const {state, actions} = step(this.#state, event, clock.monotonic());
			this.#state = state;
			if (actions.persist?.discardsLog === true) {
				await this.#execute(batch);
				batch = new ActionBatch();
			}

			batch.add(actions);
		}

		await this.#execute(batch);
		if (!this.#isStopped) {
			this.#options.onStepsCompleted(this.#state);
		}
	}

	async #execute(batch: ActionBatch): Promise<void> {
		const {persist} = batch;
		const {clock, folder} = this.#options;
		if (persist !== undefined && !this.#isStopped) {
			const startedAt = clock.monotonic();
			this.#isWriting = true;
			const written = await folder.persist(persist);
			this.#isWriting = false;
			this.#persistMilliseconds = Math.max(clock.monotonic() - startedAt, persistDecay * this.#persistMilliseconds);
			written.caseOf({
				Left: failed => {
					this.#fail(failed);
				},
				Right: () => {
					this.#persistedHardState = persist.hardState ?? this.#persistedHardState;
				},
			});
		}

		if (this.#isFailed) {
			return;
		}

		for (const {to, message} of batch.messages) {
			this.#options.send(to, message);
		}

		this.#options.apply(batch);
	}

	get #isFailed(): boolean {
		return this.#options.folder.failure !== undefined;
	}

	#fail(failed: Failure): void {
		if (!this.#isStopped) {
			this.#isStopped = true;
			this.#events = [];
			this.#options.onFailure(failed);
		}
	}
}

/** Combines all queued proposals into one step, so that they share one append and one sync, and moves a single tick to the end, so that messages received while the disk was busy are processed before timeouts are evaluated. */
function orderEvents(events: readonly ReplicaEvent[], persistMilliseconds: number): readonly ReplicaEvent[] {
	const proposals = events.flatMap(event => event.type === 'propose' ? event.proposals : []);
	const ordered = events.filter(({type}) => type !== 'propose' && type !== 'tick');
	if (proposals.length > 0) {
		ordered.push({type: 'propose', proposals});
	}

	if (events.some(({type}) => type === 'tick')) {
		ordered.push({type: 'tick', persistMilliseconds});
	}

	return ordered;
}

