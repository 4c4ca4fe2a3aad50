import {type ModelId, type VersionId} from '@valehitch/core';

/** One version of a model, as the target of a request. */
export type VersionTarget = {
	readonly model: ModelId;
	readonly version: VersionId;
};
