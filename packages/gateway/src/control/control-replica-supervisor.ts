import {type Clock, type Failure} from '@valehitch/core';
import {type DataFolder} from '@valehitch/storage';
import {type Either} from 'purify-ts';
import {type DecisionLog} from '../logs/decision-log.js';
import {type ControlReplica} from './control-replica.js';

/** An opened data folder, with what the replica that uses it needs. */
export type OpenedDataFolder = {
	readonly folder: DataFolder;
	/** The latest time at which a previous run of the replica may have acknowledged a lease, in milliseconds on the monotonic clock. */
	readonly lastAcknowledgedAt: number;
	/** Must be called once, with the reason, when the replica stops. */
	readonly onFailure: (failed: Failure) => void;
};

/** Options of a replica supervisor. */
export type ControlReplicaSupervisorOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** When this process started, in milliseconds on the monotonic clock; a previous run acknowledged nothing after this time. */
	readonly processStartedAt: number;
	/** Opens the data folder; called again after a disk failure. */
	readonly openFolder: () => Promise<Either<Failure, DataFolder>>;
	/** Creates the replica that stores its data in an opened folder. */
	readonly createReplica: (opened: OpenedDataFolder) => ControlReplica;
	/** Called when the replica stops because its disk failed. */
	readonly onLost: () => void;
};

/** The delay before a data folder that failed is reopened. */
const reopenDelayMilliseconds = 500;

/**
Runs a replica and, after a disk failure, reopens the data folder and starts a new replica, so that the process need not be restarted once a full disk has free space again.

@example
```ts
const supervisor = new ControlReplicaSupervisor(options);
await supervisor.start();
supervisor.current?.state;
```
*/
export class ControlReplicaSupervisor {
	readonly #options: ControlReplicaSupervisorOptions;
	#current: ControlReplica | undefined;
	#isStopped = false;

	constructor(options: ControlReplicaSupervisorOptions) {
		this.#options = options;
	}

	/** The running replica, or `undefined` while its disk is failing. */
	get current(): ControlReplica | undefined {
		return this.#current;
	}

	/** Opens the data folder for the first time. */
	async start(): Promise<void> {
		await this.#open(this.#options.processStartedAt);
	}

	/** Stops the replica after its steps in progress are written to disk. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await this.#current?.stop();
	}

	async #open(lastAcknowledgedAt: number): Promise<void> {
		const {openFolder, log, createReplica} = this.#options;
		const opened = await openFolder();
		if (this.#isStopped) {
			return;
		}

		opened.caseOf({
			Left: failed => {
				this.#reopenLater(failed);
			},
			Right: folder => {
				log('storage-opened', {warnings: folder.warnings});
				this.#current = createReplica({
					folder, lastAcknowledgedAt, onFailure: failed => {
						this.#reopenLater(failed);
					},
				});
				this.#current.start();
			},
		});
	}

	#reopenLater({message}: Failure): void {
		const {log, onLost} = this.#options;
		log('storage-failed', {reason: message, retryMilliseconds: reopenDelayMilliseconds}, 'error');
		const failedReplica = this.#current;
		this.#current = undefined;
		onLost();
		setTimeout(() => {
			void this.#reopen(failedReplica);
		}, reopenDelayMilliseconds);
	}

	async #reopen(failedReplica: ControlReplica | undefined): Promise<void> {
		await failedReplica?.stop();
		if (!this.#isStopped) {
			// The failed replica may have acknowledged leases until now.
			await this.#open(this.#options.clock.monotonic());
		}
	}
}
