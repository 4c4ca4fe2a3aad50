import {
	type Failure, failure, type PromptPartFingerprint, type RequestFingerprint,
} from '@valehitch/core';
import {
	type FingerprintedRequest, fingerprintRequest, promptPartFingerprint, type SuspectStatus,
} from '@valehitch/routing';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntrySuspects, type LossFinding} from './entry-suspects.js';
import {type PromptPart} from './gateway-request.js';
import {reusableParts} from './reusable-parts.js';

/** Options of {@linkcode SuspectRequest}. */
export type SuspectRequestOptions = FingerprintedRequest & {
	/** The id that the caller gave this attempt of the request. */
	readonly id: string;
	readonly promptParts: readonly PromptPart[];
};

/**
A request as a possible cause of server crashes. It is identified by its content, so the standing combines all attempts with the same content, and all requests with a part of its prompt.

@example
```ts
const suspect = new SuspectRequest(suspects, {
	id: 'a1', promptParts, workspace, method, host, target, body,
});
if (suspect.standing === 'quarantined') answer.refuse(suspect.refusal);
```
*/
export class SuspectRequest {
	readonly #suspects: EntrySuspects;
	readonly #options: SuspectRequestOptions;
	#fingerprint: RequestFingerprint | undefined;
	#parts: readonly PromptPartFingerprint[] | undefined;

	constructor(suspects: EntrySuspects, options: SuspectRequestOptions) {
		this.#suspects = suspects;
		this.#options = options;
	}

	/** The fingerprint of the request's content. It is computed on first use, since most requests never need it. */
	get fingerprint(): RequestFingerprint {
		this.#fingerprint ??= fingerprintRequest(this.#options);
		return this.#fingerprint;
	}

	/** The parts of its prompt that other prompts can have too. */
	get parts(): readonly PromptPartFingerprint[] {
		this.#parts ??= reusableParts(this.#options.promptParts).map(part => promptPartFingerprint(part));
		return this.#parts;
	}

	/** The standing of the request, based on the server processes that ended during it and during others with a part of its prompt. */
	get standing(): SuspectStatus {
		return this.#suspects.registry.isEmpty ? 'unknown' : this.#suspects.standingOf(this);
	}

	/** Whether servers ended twice during requests with a part of its prompt, which no server has answered since. */
	get hasDoubtfulPart(): boolean {
		return !this.#suspects.registry.isEmpty && this.parts.some(part => this.#suspects.statusOf(part) === 'doubtful');
	}

	/** The failure for a quarantined request. It is final: it neither asks the caller to retry nor states that the request has not run. */
	get refusal(): Failure {
		const part = this.parts.find(known => this.#suspects.statusOf(known) === 'quarantined');
		const cause = part ?? this.fingerprint;
		const ends = this.#suspects.registry.get(cause)?.ends.length ?? 0;
		const requests = part === undefined ? 'it' : 'requests with a part of its prompt';
		return failure('request-quarantined', `The request is quarantined because ${ends} backend servers ended while processing ${requests} (${cause})`);
	}

	/**
	Records that a connection broke while its server was processing the request.

	@param server The server.
	@returns The state of the server.
	*/
	async recordLoss(server: ServerRecord): Promise<LossFinding> {
		return this.#suspects.recordLoss({
			fingerprint: this.fingerprint, parts: this.parts, request: this.#options.id, server,
		});
	}

	/** Records that a server answered the request completely. */
	recordAnswered(): void {
		this.#suspects.recordAnsweredParts(this.parts);
		if (!this.#suspects.registry.isEmpty) {
			this.#suspects.recordAnswered(this.fingerprint);
		}
	}

	/**
	Registers a listener that is called when the request becomes quarantined.

	@param listener The listener.
	@returns A function that removes the listener.
	*/
	onQuarantine(listener: () => void): () => void {
		return this.#suspects.onQuarantine(fingerprint => {
			if (fingerprint === this.fingerprint) {
				listener();
			}
		});
	}
}
