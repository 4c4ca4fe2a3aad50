import {type ServerId, type ServiceId, type VersionId} from '@valehitch/core';
import {type HomeScope} from '@valehitch/routing';

/** The cache key of a prompt, and the scope in which its home server is chosen. */
export type PromptSubject = {
	readonly name: string;
	readonly homeScope: HomeScope;
};

/** The criteria for choosing a server. */
export type FindServerOptions = {
	readonly service: ServiceId;
	/** Whether a version is acceptable. */
	readonly isWanted: (version: VersionId) => boolean;
	readonly excluded: ReadonlySet<ServerId>;
	/** The cache key of the prompt; undefined if caching does not matter. */
	readonly subject: PromptSubject | undefined;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};
