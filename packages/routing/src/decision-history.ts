import {
	type ModelId, type Outcome, type RequestId, type ServerId, type VersionId, type WorkspaceId,
} from '@valehitch/core';
import {type AttemptPurpose} from './request-action.js';

/** A version that was considered, and why it was or was not chosen. */
export type VersionVerdict = {
	readonly model: ModelId;
	readonly version: VersionId;
	readonly verdict: string;
};

/** A server that was considered, and why it was or was not chosen. */
export type ServerVerdict = {
	readonly server: ServerId;
	readonly verdict: string;
};

/** The decisions on one attempt, and its result. */
export type AttemptDecision = {
	readonly attempt: number;
	readonly purpose: AttemptPurpose;
	readonly servers: readonly ServerVerdict[];
	readonly server?: ServerId;
	readonly outcome?: Outcome;
	/** The result, such as `complete` or the message of the failure. */
	readonly reason?: string;
};

/** The routing decisions of a request. */
export type DecisionRecord = {
	readonly request: RequestId;
	readonly workspace: WorkspaceId;
	/** Milliseconds since 1970. */
	readonly at: number;
	readonly versions: readonly VersionVerdict[];
	readonly attempts: readonly AttemptDecision[];
	/** How the request ended, such as `answered` or the kind of its failure. */
	readonly ending?: string;
};

/** The limits of a decision history. */
export type DecisionHistoryOptions = {
	/** The maximum number of requests; the oldest one is evicted first; 2048 by default. */
	readonly capacity?: number;
	/** The maximum number of versions, of attempts, and of servers per attempt that are recorded per request; 8 by default. */
	readonly maximumEntries?: number;
};

/**
Keeps the routing decisions of the latest requests, for `valehitch explain`.

@example
```ts
history.add({request, workspace, at, versions, attempts: []});
history.recordAttempt(request, {attempt: 1, purpose: 'first', servers, server});
history.get(request);
```
*/
export class DecisionHistory {
	readonly #capacity: number;
	readonly #maximumEntries: number;
	readonly #records = new Map<RequestId, DecisionRecord>();

	constructor({capacity = 2048, maximumEntries = 8}: DecisionHistoryOptions = {}) {
		this.#capacity = capacity;
		this.#maximumEntries = maximumEntries;
	}

	/** The number of recorded requests. */
	get size(): number {
		return this.#records.size;
	}

	/**
	Adds the record of a new request.

	@param record The record.
	*/
	add(record: DecisionRecord): void {
		this.#records.set(record.request, {
			...record,
			versions: record.versions.slice(0, this.#maximumEntries),
			attempts: record.attempts.slice(0, this.#maximumEntries),
		});
		const oldest = this.#records.keys().next();
		if (this.#records.size > this.#capacity && !oldest.done) {
			this.#records.delete(oldest.value);
		}
	}

	/**
	Adds an attempt to the record of a request, or replaces it.

	@param request The request; ignored if its record was evicted.
	@param decision The attempt.
	*/
	recordAttempt(request: RequestId, decision: AttemptDecision): void {
		const record = this.#records.get(request);
		if (record === undefined) {
			return;
		}

		const others = record.attempts.filter(({attempt}) => attempt !== decision.attempt);
		if (others.length < this.#maximumEntries) {
			const limited = {...decision, servers: decision.servers.slice(0, this.#maximumEntries)};
			this.#records.set(request, {...record, attempts: [...others, limited]});
		}
	}

	/**
	Records how a request ended.

	@param request The request; ignored if its record was evicted.
	@param ending How it ended.
	*/
	recordEnd(request: RequestId, ending: string): void {
		const record = this.#records.get(request);
		if (record !== undefined) {
			this.#records.set(request, {...record, ending});
		}
	}

	/**
	Returns the decisions of a request.

	@param request The request.
	@returns The record, or undefined if it was evicted.
	*/
	get(request: RequestId): DecisionRecord | undefined {
		return this.#records.get(request);
	}
}
