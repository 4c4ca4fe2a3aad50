import {
	type ModelId, type ServerId, type ServiceId, type VersionId,
} from '@valehitch/core';
import {type AffinityScope} from '@valehitch/routing';

/** The cache key of a prompt, and the scope in which its home server is chosen. */
export type PromptKey = {
	readonly name: string;
	readonly affinityScope: AffinityScope;
};

/** The request that a server is chosen for. */
export type NotedRequest = {
	readonly id: string;
	readonly model: ModelId | undefined;
	/** Whether other criteria follow if no server meets these. */
	readonly hasFurtherCriteria: boolean;
};

/** The criteria for choosing a server. */
export type FindServerOptions = {
	readonly service: ServiceId;
	/** Whether a version is acceptable. */
	readonly isAcceptable: (version: VersionId) => boolean;
	readonly excluded: ReadonlySet<ServerId>;
	/** The cache key of the prompt; undefined if caching does not matter. */
	readonly promptKey: PromptKey | undefined;
	/** The load of the request, in units of a short request; 1 by default. */
	readonly load?: number;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** The id of the request and its model, for the notes of decisions; by default, the choice is not noted. */
	readonly noted?: NotedRequest | undefined;
};
