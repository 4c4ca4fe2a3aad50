import {type Failure, failure, type RequestFingerprint} from '@valehitch/core';
import {type FingerprintedRequest, fingerprintRequest, type SuspectStanding} from '@valehitch/routing';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntrySuspects, type LossFinding} from './entry-suspects.js';

/** Which request it is. */
export type RequestSuspicionOptions = FingerprintedRequest & {
	/** The caller's id of this arrival. */
	readonly id: string;
};

/**
One arrival of a request, seen by what its caller asks: what is known of it from its other arrivals, and what this one adds.

@example
```ts
const suspicion = new RequestSuspicion(suspects, {id: 'a1', workspace, method, host, target, body});
if (suspicion.standing === 'quarantined') answer.refuse(suspicion.refusal);
```
*/
export class RequestSuspicion {
	readonly #suspects: EntrySuspects;
	readonly #options: RequestSuspicionOptions;
	#fingerprint: RequestFingerprint | undefined;

	constructor(suspects: EntrySuspects, options: RequestSuspicionOptions) {
		this.#suspects = suspects;
		this.#options = options;
	}

	/** Names the request by what its caller asks; worked out where it is needed first, since most requests never need it. */
	get fingerprint(): RequestFingerprint {
		this.#fingerprint ??= fingerprintRequest(this.#options);
		return this.#fingerprint;
	}

	/** What follows from the ends of servers under the request. */
	get standing(): SuspectStanding {
		return this.#suspects.book.isEmpty ? 'unknown' : this.#suspects.standing(this.fingerprint);
	}

	/** The final answer to a request that is sent to no server any more: no invitation to come back, and no word that it did not run. */
	get refusal(): Failure {
		const ends = this.#suspects.book.get(this.fingerprint)?.ends.length ?? 0;
		return failure('request-quarantined', `Got a request under which ${ends} backend servers ended, wanted one that they survive (${this.fingerprint})`);
	}

	/**
	Learns that a connection broke while its server had the request.

	@param server The server.
	@returns What became of the server.
	*/
	async noteLoss(server: ServerRecord): Promise<LossFinding> {
		return this.#suspects.noteLoss({fingerprint: this.fingerprint, request: this.#options.id, server});
	}

	/** Learns that a server answered the request whole. */
	noteAnswered(): void {
		if (!this.#suspects.book.isEmpty) {
			this.#suspects.noteAnswered(this.fingerprint);
		}
	}

	/**
	Has a function called once the request is quarantined while it is in progress.

	@param listener The function.
	@returns Ends it.
	*/
	onQuarantine(listener: () => void): () => void {
		return this.#suspects.onQuarantine(fingerprint => {
			if (fingerprint === this.fingerprint) {
				listener();
			}
		});
	}
}
