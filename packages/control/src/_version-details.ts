import {
	type Configuration, type ModelId, type VersionConfiguration, type VersionId,
} from '@valehitch/core';

/** Finds a listed version; names such as `constructor` find nothing that is not listed. */
export function versionDetails({models}: Configuration, {model, version}: {readonly model: ModelId; readonly version: VersionId}): VersionConfiguration | undefined {
	const versions = Object.hasOwn(models, model) ? models[model]?.versions : undefined;
	return versions !== undefined && Object.hasOwn(versions, version) ? versions[version] : undefined;
}
