import {type Clock, type Failure} from '@valehitch/core';
import {type DataFolder} from '@valehitch/storage';
import {type Either} from 'purify-ts';
import {type DecisionLog} from '../logs/decision-log.js';
import {type ControlGroup} from './control-group.js';

/** What one opening of the data folder gives to the replica on it. */
export type OpenedFolder = {
	readonly folder: DataFolder;
	/** The last time at which a former run of the replica can have acknowledged a lease, in milliseconds on the monotonic clock. */
	readonly lastAcknowledgedAt: number;
	/** To be told once why the replica stopped. */
	readonly onFailure: (failed: Failure) => void;
};

/** What the care for a replica needs. */
export type ReopeningGroupOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** When this process started, in milliseconds on the monotonic clock; a former run acknowledged nothing after that. */
	readonly processStartedAt: number;
	/** Opens the data folder; asked again after a failure of the disk. */
	readonly openFolder: () => Promise<Either<Failure, DataFolder>>;
	/** Builds the replica on an opened folder. */
	readonly createGroup: (opened: OpenedFolder) => ControlGroup;
	/** Told when the replica is lost to its disk. */
	readonly onLost: () => void;
};

/** The time until a data folder that failed is opened again. */
const reopenMilliseconds = 500;

/**
Keeps a replica on the data folder, and opens the folder again after its disk failed, so that a full disk that empties needs no restart.

@example
```ts
const holder = new ReopeningGroup(options);
await holder.start();
holder.current?.state;
```
*/
export class ReopeningGroup {
	readonly #options: ReopeningGroupOptions;
	#current: ControlGroup | undefined;
	#isStopped = false;

	constructor(options: ReopeningGroupOptions) {
		this.#options = options;
	}

	/** The replica; undefined while its disk fails. */
	get current(): ControlGroup | undefined {
		return this.#current;
	}

	/** Opens the data folder for the first time. */
	async start(): Promise<void> {
		await this.#open(this.#options.processStartedAt);
	}

	/** Stops the replica once its steps in progress are on the disk. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await this.#current?.stop();
	}

	async #open(lastAcknowledgedAt: number): Promise<void> {
		const {openFolder, log, createGroup} = this.#options;
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
				this.#current = createGroup({
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
		log('storage-failed', {reason: message, retryMilliseconds: reopenMilliseconds}, 'error');
		const broken = this.#current;
		this.#current = undefined;
		onLost();
		setTimeout(() => {
			void this.#reopen(broken);
		}, reopenMilliseconds);
	}

	async #reopen(broken: ControlGroup | undefined): Promise<void> {
		await broken?.stop();
		if (!this.#isStopped) {
			// The broken replica may have acknowledged leases until now.
			await this.#open(this.#options.clock.monotonic());
		}
	}
}
