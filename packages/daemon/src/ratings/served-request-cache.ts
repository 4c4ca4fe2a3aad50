import {type RequestId, type WorkspaceId} from '@valehitch/core';
import {type QualityMeasure, type VersionTarget} from '@valehitch/policy';

/** The data of a served request that is kept until its rating arrives. */
export type ServedRequest = VersionTarget & {
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	/** The name of the policy rule that applied to it. */
	readonly rule: string;
	/** `accepted-rating` if a cascade accepted the answer of its first version, `rating` otherwise. */
	readonly measure: Extract<QualityMeasure, 'rating' | 'accepted-rating'>;
	/** When it ran, as Unix time in milliseconds. */
	readonly ranAt: number;
};

/** The result of looking up a rated request: the request if this instance served it and it was not rated yet, `rated` if it was, and `unknown` otherwise. */
export type RatedRequestLookup = ServedRequest | 'rated' | 'unknown';

/**
A bounded cache of the most recent requests that this instance served and of the most recent request ids that were rated here.

@example
```ts
cache.add(served);
cache.markRated(served.requestId); // the request; 'rated' on later calls
```
*/
export class ServedRequestCache {
	readonly #capacity: number;
	readonly #served = new Map<RequestId, ServedRequest>();
	readonly #rated = new Set<RequestId>();

	/**
	@param capacity The maximum number of requests and, separately, of rated ids; each takes about 400 bytes.
	*/
	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	/**
	Adds an answered request.

	@param request The request.
	*/
	add(request: ServedRequest): void {
		this.#served.set(request.requestId, request);
		this.#evict(this.#served);
	}

	/**
	Looks up the request of a rating and marks its id as rated.

	@param requestId The request id in the rating.
	@returns The request, `rated` or `unknown`.
	*/
	markRated(requestId: RequestId): RatedRequestLookup {
		if (this.#rated.has(requestId)) {
			return 'rated';
		}

		const served = this.#served.get(requestId);
		this.#served.delete(requestId);
		this.#rated.add(requestId);
		this.#evict(this.#rated);
		return served ?? 'unknown';
	}

	#evict(cache: Map<RequestId, ServedRequest> | Set<RequestId>): void {
		for (const oldest of cache.keys()) {
			if (cache.size <= this.#capacity) {
				break;
			}

			cache.delete(oldest);
		}
	}
}
