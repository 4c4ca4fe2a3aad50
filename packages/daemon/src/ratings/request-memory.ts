import {type RequestId, type WorkspaceId} from '@valehitch/core';
import {type QualityMeasure, type VersionTarget} from '@valehitch/policy';

/** What is remembered of a request until its rating comes. */
export type ServedRequest = VersionTarget & {
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	/** The name of the rule that covered it. */
	readonly rule: string;
	/** `accepted-rating` where a cascade accepted the answer of its first version, else `rating`. */
	readonly measure: Extract<QualityMeasure, 'rating' | 'accepted-rating'>;
	/** When it ran, in milliseconds since 1970. */
	readonly ranAt: number;
};

/** What became of a rating's request id: served here and not rated yet, rated before, or not known here. */
export type RecalledRequest = ServedRequest | 'rated' | 'unknown';

/**
The latest requests of this instance and the latest request ids that were rated here, both bounded.

@example
```ts
memory.remember(served);
memory.recall(served.requestId); // the request, and 'rated' from then on
```
*/
export class RequestMemory {
	readonly #capacity: number;
	readonly #served = new Map<RequestId, ServedRequest>();
	readonly #rated = new Set<RequestId>();

	/**
	@param capacity How many requests and how many rated ids are kept; about 400 bytes each.
	*/
	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	/**
	Remembers a request that was answered.

	@param request The request.
	*/
	remember(request: ServedRequest): void {
		this.#served.set(request.requestId, request);
		this.#shrink(this.#served);
	}

	/**
	Finds the request of a rating and marks it as rated.

	@param requestId The id that came with the rating.
	@returns The request, or why there is none.
	*/
	recall(requestId: RequestId): RecalledRequest {
		if (this.#rated.has(requestId)) {
			return 'rated';
		}

		const served = this.#served.get(requestId);
		this.#served.delete(requestId);
		this.#rated.add(requestId);
		this.#shrink(this.#rated);
		return served ?? 'unknown';
	}

	#shrink(kept: Map<RequestId, ServedRequest> | Set<RequestId>): void {
		for (const oldest of kept.keys()) {
			if (kept.size <= this.#capacity) {
				break;
			}

			kept.delete(oldest);
		}
	}
}
