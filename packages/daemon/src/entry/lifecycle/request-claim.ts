import {
	type ClaimOutcome, type ClaimSettlement, type IdempotencyKey, type StoredResponse,
} from '@valehitch/control';
import {type RequestId, type WorkspaceId} from '@valehitch/core';
import {type ClaimOutcome as ClaimEnd, type RequestEvent} from '@valehitch/routing';
import {match} from 'ts-pattern';
import {type EntryContext} from '../entry-context.js';

/** The idempotency key of a request, and the digest that distinguishes it from other requests with the same key. */
export type RequestKey = {
	readonly key: IdempotencyKey;
	readonly digest: string;
};

/** Options of a {@linkcode RequestClaim}. */
export type RequestClaimOptions = RequestKey & {
	readonly workspace: WorkspaceId;
	readonly requestId: RequestId;
	readonly context: Pick<EntryContext, 'claims' | 'timeline'>;
};

const retryAfterMilliseconds = 1000;

/**
The claim of a request on its idempotency key.

@example
```ts
const event = await claim.take();
claim.settle('released', undefined);
```
*/
export class RequestClaim {
	readonly #options: RequestClaimOptions;
	#storedAnswer: StoredResponse | undefined;

	constructor(options: RequestClaimOptions) {
		this.#options = options;
	}

	/** The stored answer of an earlier request with the same key. */
	get keptAnswer(): StoredResponse | undefined {
		return this.#storedAnswer;
	}

	/**
	Takes the claim.

	@returns The event with the state of the claim.
	*/
	async take(): Promise<RequestEvent> {
		const {context, workspace, requestId, key, digest} = this.#options;
		const outcome = await context.claims.take({
			workspace, key, requestDigest: digest, request: requestId,
		});
		context.timeline.record('claim-taken', {requestId, workspace, details: {answer: outcome.map(({type}) => type as string).orDefault('no-quorum')}});
		return outcome.caseOf<RequestEvent>({
			Left: failed => ({type: 'claim-answered', answer: 'no-quorum', retryAfterMilliseconds: failed.retryAfterMilliseconds ?? retryAfterMilliseconds}),
			Right: claimOutcome => this.#toEvent(claimOutcome),
		});
	}

	/**
	Settles the claim in the background; the settlement is retried until it is acknowledged.

	@param end How the request ended.
	@param answer The complete answer, if there is one.
	*/
	settle(end: ClaimEnd, answer: StoredResponse | undefined): void {
		const {context, workspace, requestId, key} = this.#options;
		context.timeline.record('claim-settled', {requestId, workspace, details: {outcome: end}});
		const settlement: ClaimSettlement = end === 'done' && answer !== undefined
			? {type: 'done', answer}
			: {type: end === 'released' ? 'released' : 'unknown'};
		context.claims.settle({workspace, key, request: requestId}, settlement);
	}

	#toEvent(outcome: ClaimOutcome): RequestEvent {
		return match<ClaimOutcome, RequestEvent>(outcome)
			.with({type: 'done'}, ({answer}) => {
				this.#storedAnswer = answer;
				return {type: 'claim-answered', answer: 'done'};
			})
			.with({type: 'released'}, {type: 'expired'}, () => ({type: 'claim-answered', answer: 'no-quorum', retryAfterMilliseconds}))
			.otherwise(({type}) => ({type: 'claim-answered', answer: type, retryAfterMilliseconds}));
	}
}
