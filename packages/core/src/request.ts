import {type ModelId, type RequestId, type WorkspaceId} from './ids.js';

/** What a policy program may ask about a request. */
export type RequestFacts = {
	/** The class the caller gave in the header `Valehitch-Class`, or an empty text. */
	readonly class: string;
	/** The model the caller named, or `auto`. */
	readonly model: string;
	/** Whether the answer is streamed. */
	readonly stream: boolean;
	/** An estimate of the prompt's tokens. */
	readonly promptTokens: number;
	/** The most tokens the caller wants, or 0 where it did not say. */
	readonly maxTokens: number;
	/** Whether the request belongs to a session. */
	readonly session: boolean;
};

/** One request to a model, as it arrived. */
export type ModelRequest = {
	readonly id: RequestId;
	readonly workspace: WorkspaceId;
	readonly facts: RequestFacts;
	/** The model that the caller insists on; undefined when the policy chooses. */
	readonly namedModel?: ModelId;
};
