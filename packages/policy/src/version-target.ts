import {type ModelId, type VersionId} from '@valehitch/core';

/** A version of a model to which a request can be sent. */
export type VersionTarget = {
	readonly model: ModelId;
	readonly version: VersionId;
};
