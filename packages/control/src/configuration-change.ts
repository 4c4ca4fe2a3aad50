import {
	type ChangeId, type ModelId, type Revision, type VersionId,
} from '@valehitch/core';

/** The cause of a new revision. */
export type ChangeCause
	= | {readonly type: 'operator'; readonly operator?: string | undefined; readonly changeId: ChangeId}
		| {readonly type: 'rollout-advanced'; readonly model: ModelId; readonly version: VersionId}
		| {readonly type: 'version-stopped'; readonly model: ModelId; readonly version: VersionId};

/** A committed change, as reported with a revision conflict. */
export type ConfigurationChange = {
	readonly revision: Revision;
	readonly cause: ChangeCause;
	/** Unix time in milliseconds. */
	readonly at: number;
	/** The changed entries, such as `models.tag-small`; at most 20. */
	readonly paths: readonly string[];
};
