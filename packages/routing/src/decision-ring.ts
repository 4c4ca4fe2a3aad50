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

/** One attempt: where it went and what came of it. */
export type AttemptDecision = {
	readonly attempt: number;
	readonly purpose: AttemptPurpose;
	readonly servers: readonly ServerVerdict[];
	readonly server?: ServerId;
	readonly outcome?: Outcome;
	/** What came of it, such as `complete` or the message of its failure. */
	readonly reason?: string;
};

/** Why a request went where it went. */
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

/** The bounds of a ring. */
export type DecisionRingOptions = {
	/** The most requests kept, the oldest going first; 2048 by default. */
	readonly capacity?: number;
	/** The most versions, attempts, and servers of an attempt that are kept of one request; 8 by default. */
	readonly maximumEntries?: number;
};

/**
The decisions of the latest requests, for `valehitch explain`.

@example
```ts
ring.begin({request, workspace, at, versions, attempts: []});
ring.attempt(request, {attempt: 1, purpose: 'first', servers, server});
ring.get(request);
```
*/
export class DecisionRing {
	readonly #capacity: number;
	readonly #maximumEntries: number;
	readonly #records = new Map<RequestId, DecisionRecord>();

	constructor({capacity = 2048, maximumEntries = 8}: DecisionRingOptions = {}) {
		this.#capacity = capacity;
		this.#maximumEntries = maximumEntries;
	}

	/** How many requests are kept. */
	get size(): number {
		return this.#records.size;
	}

	/**
	Keeps a new record.

	@param record The record.
	*/
	begin(record: DecisionRecord): void {
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
	Adds an attempt, or replaces what is kept of it.

	@param request The request; one that is not kept any more is passed over.
	@param decision The attempt.
	*/
	attempt(request: RequestId, decision: AttemptDecision): void {
		const record = this.#records.get(request);
		if (record === undefined) {
			return;
		}

		const others = record.attempts.filter(({attempt}) => attempt !== decision.attempt);
		if (others.length < this.#maximumEntries) {
			const kept = {...decision, servers: decision.servers.slice(0, this.#maximumEntries)};
			this.#records.set(request, {...record, attempts: [...others, kept]});
		}
	}

	/**
	Says how a request ended.

	@param request The request; one that is not kept any more is passed over.
	@param ending How it ended.
	*/
	end(request: RequestId, ending: string): void {
		const record = this.#records.get(request);
		if (record !== undefined) {
			this.#records.set(request, {...record, ending});
		}
	}

	/**
	Finds the decisions of a request.

	@param request The request.
	@returns The record, or undefined where it is not kept any more.
	*/
	get(request: RequestId): DecisionRecord | undefined {
		return this.#records.get(request);
	}
}
