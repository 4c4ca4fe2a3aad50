import {
	type ClaimOutcome, type ClaimSettlement, type Command, type IdempotencyKey, type TakeClaimCommand,
} from '@valehitch/control';
import {
	type Clock, type Failure, type InstanceId, type RequestId, type WorkspaceId,
} from '@valehitch/core';
import {type Either} from 'purify-ts';

/** A claim to take for a request. */
export type ClaimRequest = Pick<TakeClaimCommand, 'workspace' | 'key' | 'requestDigest' | 'request'>;

/** A claim that this instance has taken, or may have taken. */
export type OwnClaim = {
	readonly workspace: WorkspaceId;
	readonly key: IdempotencyKey;
	readonly request: RequestId;
};

/** Options of a {@linkcode ClaimClient}. */
export type ClaimClientOptions = {
	readonly instance: InstanceId;
	readonly clock: Clock;
	/** Sends a claim command to the control role. */
	readonly propose: (command: ClaimCommand) => Promise<Either<Failure, {readonly claim: ClaimOutcome}>>;
	/** Marks the open claims of a lost instance as unknown. */
	readonly markLost: (instance: InstanceId) => Promise<Either<Failure, unknown>>;
	/** Waits before a command is retried. */
	readonly wait: (milliseconds: number) => Promise<void>;
	/** Called when the control role refused a settlement; it is not retried. */
	readonly onRefused: (claim: OwnClaim, failed: Failure) => void;
	/** The retry delay, in milliseconds; 250 by default. */
	readonly retryMilliseconds?: number;
};

/** The commands that take and settle claims. */
export type ClaimCommand = Command & {readonly type: 'take-claim' | 'settle-claim'};

const defaultRetryMilliseconds = 250;
const initializationTimeoutMilliseconds = 2000;

/**
Takes claims on idempotency keys, and retries their settlements until the control role acknowledges them.

@example
```ts
const outcome = await claims.take({workspace, key, requestDigest, request});
claims.settle({workspace, key, request}, {type: 'released'});
```
*/
export class ClaimClient {
	readonly #options: ClaimClientOptions;
	readonly #unsettled = new Set<OwnClaim>();
	#initialization: Promise<void> | undefined;
	#closed = false;

	constructor(options: ClaimClientOptions) {
		this.#options = options;
	}

	/** Marks the claims that an earlier process of this instance left open as unknown. Taking a claim waits for that, for at most two seconds. */
	initialize(): void {
		this.#initialization = this.markLost(this.#options.instance);
	}

	/**
	Marks the open claims of a lost instance as unknown; retries until that is acknowledged.

	@param instance The instance.
	*/
	async markLost(instance: InstanceId): Promise<void> {
		const {markLost, wait, retryMilliseconds = defaultRetryMilliseconds} = this.#options;
		while (!this.#closed) {
			const answer = await markLost(instance);
			if (answer.isRight()) {
				return;
			}

			await wait(retryMilliseconds);
		}
	}

	/** The number of settlements that are not acknowledged yet. */
	get size(): number {
		return this.#unsettled.size;
	}

	/**
	Takes a claim unless another request holds it.

	@param claim The claim.
	@returns The state of the claim, or `no-quorum` if it is unknown; the claim may have been taken then.
	*/
	async take(claim: ClaimRequest): Promise<Either<Failure, ClaimOutcome>> {
		const {propose, instance, wait} = this.#options;
		await Promise.race([this.#initialization, wait(initializationTimeoutMilliseconds)]);
		const answer = await propose({
			type: 'take-claim', ...claim, instance, at: this.#now(),
		});
		return answer.map(reply => reply.claim);
	}

	/**
	Settles a claim in the background; the settlement is retried until it is acknowledged.

	@param claim The claim.
	@param settlement The result to record.
	*/
	settle(claim: OwnClaim, settlement: ClaimSettlement): void {
		this.#unsettled.add(claim);
		void this.#sendSettlement(claim, settlement);
	}

	/** Stops retrying. The control role marks claims that were not settled as unknown when they time out. */
	close(): void {
		this.#closed = true;
		this.#unsettled.clear();
	}

	async #sendSettlement(claim: OwnClaim, settlement: ClaimSettlement): Promise<void> {
		const {propose, wait, onRefused, retryMilliseconds = defaultRetryMilliseconds} = this.#options;
		while (this.#unsettled.has(claim)) {
			const answer = await propose({
				type: 'settle-claim', ...claim, settlement, at: this.#now(),
			});
			const failed = answer.swap().toMaybe().extract();
			if (failed?.kind === 'no-quorum') {
				await wait(retryMilliseconds);
				continue;
			}

			this.#unsettled.delete(claim);
			if (failed !== undefined) {
				onRefused(claim, failed);
			}
		}
	}

	#now(): number {
		return this.#options.clock.now().getTime();
	}
}
