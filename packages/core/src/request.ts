import {type ModelId, type RequestId, type WorkspaceId} from './ids.js';

/** The properties of a request that the conditions of a policy program can access. */
export type RequestFacts = {
	/** The value of the header `Valehitch-Class`, or an empty string. */
	readonly class: string;
	/** The requested model, or `auto`. */
	readonly model: string;
	/** Whether the answer is streamed. */
	readonly stream: boolean;
	/** The estimated number of prompt tokens. */
	readonly promptTokens: number;
	/** The maximum number of output tokens that the caller requests, or 0 if it sets no limit. */
	readonly maxTokens: number;
	/** Whether the request belongs to a session. */
	readonly session: boolean;
};

/** A request to a model, as received. */
export type ModelRequest = {
	readonly id: RequestId;
	readonly workspace: WorkspaceId;
	readonly facts: RequestFacts;
	/** The model that the caller requires. Undefined if the policy chooses. */
	readonly namedModel?: ModelId;
};
