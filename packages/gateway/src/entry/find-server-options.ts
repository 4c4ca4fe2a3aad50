import {type ServerId, type ServiceId, type VersionId} from '@valehitch/core';
import {type HomeScope} from '@valehitch/routing';

/** What a prompt has in common with others, and where its home is looked for. */
export type PromptSubject = {
	readonly name: string;
	readonly homeScope: HomeScope;
};

/** What is wanted of a server. */
export type FindServerOptions = {
	readonly service: ServiceId;
	/** Whether a version will do. */
	readonly isWanted: (version: VersionId) => boolean;
	readonly excluded: ReadonlySet<ServerId>;
	/** What the prompt has in common with others; undefined where no cache matters. */
	readonly subject: PromptSubject | undefined;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};
