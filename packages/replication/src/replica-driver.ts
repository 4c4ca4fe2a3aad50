import {
	createReplica, type CreateReplicaOptions, type ReplicaActions, type ReplicaEvent, type ReplicaId, type ReplicaMessage, type ReplicaState, step,
} from '@valehitch/consensus';
import {type Clock, type Failure, failure} from '@valehitch/core';
import {type DataFolder} from '@valehitch/storage';
import {ActionBatch} from './_action-batch.js';

/** The share of the longest time of the disk that is left with each further write, so that it is forgotten after some dozen. */
const persistDecay = 0.8;

/** What the driver of a replica needs. */
export type ReplicaDriverOptions = {
	/** What the replica starts from. */
	readonly start: CreateReplicaOptions;
	readonly folder: DataFolder;
	readonly clock: Clock;
	/** Sends a message to another replica; it may be lost. */
	readonly send: (to: ReplicaId, message: ReplicaMessage) => void;
	/** Takes what was committed, in order, once it is on the disk. */
	readonly apply: (actions: CommittedActions) => void;
	/** Told after each batch of steps, when all of it is on the disk. */
	readonly onStepped: (state: ReplicaState) => void;
	/** Told once why the replica stopped for good. */
	readonly onFailure: (failed: Failure) => void;
};

/** What the state machine takes from a batch of steps. */
export type CommittedActions = Pick<ReplicaActions, 'accepted' | 'rejected' | 'restore' | 'committed'>;

/**
Drives a replica: collects events, takes the steps, puts on the disk what they ask for with one sync, then sends and applies.

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
	/** The longest that the disk took of late. */
	#persistMilliseconds = 0;
	#isStopped = false;

	constructor(options: ReplicaDriverOptions) {
		this.#options = options;
		this.#state = createReplica(options.start, options.clock.monotonic());
	}

	/** The state after the last step. */
	get state(): ReplicaState {
		return this.#state;
	}

	/**
	Takes an event; the step follows as soon as the step before is on the disk.

	@param event What happened.
	*/
	push(event: ReplicaEvent): void {
		if (!this.#isStopped) {
			this.#events.push(event);
			this.#run();
		}
	}

	/** Takes no more events, and waits until those in progress are on the disk. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await this.#running;
	}

	#run(): void {
		this.#running ??= this.#work();
	}

	async #work(): Promise<void> {
		// Events that arrive in the same turn of the loop belong to the same batch.
		await Promise.resolve();
		try {
			while (!this.#isStopped && this.#events.length > 0) {
				await this.#takeSteps(inOrder(this.#events.splice(0), this.#persistMilliseconds));
			}
		} catch (error) {
			this.#fail(failure('internal', error instanceof Error ? error.message : String(error)));
		}

		this.#running = undefined;
	}

	async #takeSteps(events: readonly ReplicaEvent[]): Promise<void> {
		const {clock} = this.#options;
		let batch = new ActionBatch();
		for (const event of events) {
			const {state, actions} = step(this.#state, event, clock.monotonic());
			this.#state = state;
			if (actions.persist?.discardsLog === true) {
				await this.#carryOut(batch);
				batch = new ActionBatch();
			}

			batch.add(actions);
		}

		await this.#carryOut(batch);
		if (!this.#isStopped) {
			this.#options.onStepped(this.#state);
		}
	}

	async #carryOut(batch: ActionBatch): Promise<void> {
		const {persist} = batch;
		const {clock, folder} = this.#options;
		if (persist !== undefined && !this.#isStopped) {
			const begunAt = clock.monotonic();
			const written = await folder.persist(persist);
			this.#persistMilliseconds = Math.max(clock.monotonic() - begunAt, persistDecay * this.#persistMilliseconds);
			written.ifLeft(failed => {
				this.#fail(failed);
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

/** All proposals that wait go into one step, so that they share one append and one sync. One tick comes last: what the others said while the disk was busy is read before their silence is judged. */
function inOrder(events: readonly ReplicaEvent[], persistMilliseconds: number): readonly ReplicaEvent[] {
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

