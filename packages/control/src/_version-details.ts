import {
	type Configuration, type ModelId, type VersionConfiguration, type VersionId,
} from '@valehitch/core';

/** Looks up a listed version by own properties only, so that names such as `constructor` do not match inherited members. */
export function versionDetails({models}: Configuration, {model, version}: {readonly model: ModelId; readonly version: VersionId}): VersionConfiguration | undefined {
	const versions = Object.hasOwn(models, model) ? models[model]?.versions : undefined;
	return versions !== undefined && Object.hasOwn(versions, version) ? versions[version] : undefined;
}
