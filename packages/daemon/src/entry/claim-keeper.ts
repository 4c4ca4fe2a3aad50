import {
	type ClaimOutcome, type ClaimSettlement, type Command, type IdempotencyKey, type TakeClaimCommand,
} from '@valehitch/control';
import {
	type Clock, type Failure, type InstanceId, type RequestId, type WorkspaceId,
} from '@valehitch/core';
import {type Either} from 'purify-ts';

/** A claim that this instance may take. */
export type ClaimRequest = Pick<TakeClaimCommand, 'workspace' | 'key' | 'requestDigest' | 'request'>;

/** A claim that this instance took, or may have taken. */
export type OwnClaim = {
	readonly workspace: WorkspaceId;
	readonly key: IdempotencyKey;
	readonly request: RequestId;
};

/** What the keeper of claims needs. */
export type ClaimKeeperOptions = {
	readonly instance: InstanceId;
	readonly clock: Clock;
	/** Passes a claim command to the control role. */
	readonly propose: (command: ClaimCommand) => Promise<Either<Failure, {readonly claim: ClaimOutcome}>>;
	/** Has the open claims of an instance that is gone turned to unknown. */
	readonly forget: (instance: InstanceId) => Promise<Either<Failure, unknown>>;
	/** Waits before a settlement is sent again. */
	readonly wait: (milliseconds: number) => Promise<void>;
	/** Told of a settlement that the control role refused; it is not sent again. */
	readonly onRefused: (claim: OwnClaim, failed: Failure) => void;
	/** Milliseconds before a settlement is sent again; 250 by default. */
	readonly retryMilliseconds?: number;
};

/** The commands that take and settle claims. */
export type ClaimCommand = Command & {readonly type: 'take-claim' | 'settle-claim'};

const defaultRetryMilliseconds = 250;
const beginMilliseconds = 2000;

/**
Takes claims on idempotency keys and keeps their settlements until the control role has acknowledged them.

@example
```ts
const outcome = await claims.take({workspace, key, requestDigest, request});
claims.settle({workspace, key, request}, {type: 'released'});
```
*/
export class ClaimKeeper {
	readonly #options: ClaimKeeperOptions;
	readonly #unsettled = new Set<OwnClaim>();
	#begun: Promise<void> | undefined;
	#closed = false;

	constructor(options: ClaimKeeperOptions) {
		this.#options = options;
	}

	/** Gives up what an earlier run of this instance left open; claims are taken after that. */
	begin(): void {
		this.#begun = this.forget(this.#options.instance);
	}

	/**
	Has the open claims of an instance that is gone turned to unknown; tries until that is acknowledged.

	@param instance The instance.
	*/
	async forget(instance: InstanceId): Promise<void> {
		const {forget, wait, retryMilliseconds = defaultRetryMilliseconds} = this.#options;
		while (!this.#closed) {
			const answer = await forget(instance);
			if (answer.isRight()) {
				return;
			}

			await wait(retryMilliseconds);
		}
	}

	/** How many settlements are not acknowledged yet. */
	get size(): number {
		return this.#unsettled.size;
	}

	/**
	Takes a claim, unless another request has it.

	@param claim The claim.
	@returns Where the claim stands; `no-quorum` where that is not known, and then it may have been taken.
	*/
	async take(claim: ClaimRequest): Promise<Either<Failure, ClaimOutcome>> {
		const {propose, instance, wait} = this.#options;
		await Promise.race([this.#begun, wait(beginMilliseconds)]);
		const answer = await propose({
			type: 'take-claim', ...claim, instance, at: this.#now(),
		});
		return answer.map(found => found.claim);
	}

	/**
	Settles a claim; the settlement is sent until it is acknowledged.

	@param claim The claim.
	@param settlement How it ended.
	*/
	settle(claim: OwnClaim, settlement: ClaimSettlement): void {
		this.#unsettled.add(claim);
		void this.#send(claim, settlement);
	}

	/** Ends the tries; claims that are not settled turn to unknown in time. */
	close(): void {
		this.#closed = true;
		this.#unsettled.clear();
	}

	async #send(claim: OwnClaim, settlement: ClaimSettlement): Promise<void> {
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
