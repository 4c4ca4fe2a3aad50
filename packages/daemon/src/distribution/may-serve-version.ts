import {type ModelId, type VersionId, versionKey} from '@valehitch/core';
import {type IsolatedServing, mayServe, type MayServeOptions} from '@valehitch/membership';
import {match} from 'ts-pattern';
import {type ActiveConfiguration} from './active-configuration.js';

/** A version, and the setting for cut-off instances. */
export type MayServeVersionOptions = {
	readonly model: ModelId;
	readonly version: VersionId;
	/** The setting `isolation.serve`. */
	readonly serve: IsolatedServing;
};

/**
Tells whether new work may go to a version under a configuration, be it isolated or not; asked again at every dispatch.

@param active The configuration.
@param options The version and the setting.
@returns Whether the version may get new work.
@example
```ts
mayServeVersion(active, {model, version, serve: settings.isolation.serve});
```
*/
export function mayServeVersion(active: ActiveConfiguration, {model, version, serve}: MayServeVersionOptions): boolean {
	return mayServe({leaseValid: !active.isolated, serve, versionState: stateOf(active, {model, version})});
}

function stateOf({effective: {document, rollouts}}: ActiveConfiguration, {model, version}: Pick<MayServeVersionOptions, 'model' | 'version'>): MayServeOptions['versionState'] {
	const listed = document.models[model]?.versions[version]?.state ?? 'withdrawn';
	if (listed !== 'rolling-out') {
		return listed;
	}

	return match(rollouts[versionKey(model, version)]?.status)
		.with('stopped', () => 'stopped' as const)
		.with('completed', () => 'settled' as const)
		.with('running', undefined, () => 'rolling-out' as const)
		.exhaustive();
}
