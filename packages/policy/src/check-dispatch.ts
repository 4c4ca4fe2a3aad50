import {type EffectiveConfiguration, versionKey, type WorkspaceId} from '@valehitch/core';
import {match} from 'ts-pattern';
import {ownProperty} from './_own-property.js';
import {type VersionTarget} from './version-target.js';

/** Whether a request may be sent to a version now. All values except `allowed` are reasons against it. */
export type DispatchDecision = 'allowed' | 'not-allowed' | 'version-withdrawn' | 'version-stopped' | 'isolated';

/** The inputs of `checkDispatch`. */
export type CheckDispatchOptions = VersionTarget & {
	readonly workspace: WorkspaceId;
	/** Whether the configuration lease of this instance has expired. */
	readonly isolated: boolean;
	/** Which versions an isolated instance may use (the setting `isolation.serve`). Defaults to `settled`. */
	readonly isolatedServe?: 'settled' | 'all' | 'none';
	/** Checks whether this instance has stopped the version locally. By default no version is stopped. */
	readonly isStoppedLocally?: (target: VersionTarget) => boolean;
	/** Whether the choice was below the quality target. A settled version that only this instance has stopped may then serve. */
	readonly belowTarget?: boolean;
};

/**
Checks whether a version may receive new work of a workspace. Must be called immediately before every dispatch, including retries, hedges, resumes and escalations.

@param configuration The configuration in force.
@param options The workspace, the version and the state of this instance.
@returns `allowed`, or the reason against it: the workspace may not use the version, it is withdrawn or not configured, it is stopped, or the instance is isolated and may not use the version.
@example
```ts
checkDispatch(configuration, {workspace, model, version, isolated: false}); // 'allowed'
```
*/
export function checkDispatch(configuration: EffectiveConfiguration, options: CheckDispatchOptions): DispatchDecision {
	const {document, rollouts} = configuration;
	const {model, version} = options;
	if (!isVersionAllowed(configuration, options)) {
		return 'not-allowed';
	}

	const state = ownProperty(ownProperty(document.models, model)?.versions, version)?.state ?? 'withdrawn';
	const rollout = ownProperty(rollouts, versionKey(model, version));
	if (state === 'withdrawn') {
		return 'version-withdrawn';
	}

	const isSettled = state === 'settled' || rollout?.status === 'completed';
	return rollout?.status === 'stopped' || (!isSettled && rollout?.status !== 'running')
		? 'version-stopped'
		: checkInstanceState(options, isSettled);
}

function isVersionAllowed({document}: EffectiveConfiguration, {workspace, model, version}: CheckDispatchOptions): boolean {
	return ownProperty(ownProperty(document.workspaces, workspace)?.allowed, model)?.includes(version) === true;
}

function checkInstanceState(options: CheckDispatchOptions, isSettled: boolean): DispatchDecision {
	const {
		model, version, isolated, isolatedServe = 'settled', isStoppedLocally = () => false, belowTarget = false,
	} = options;
	if (isolated && !servesWhileIsolated(isolatedServe, isSettled)) {
		return 'isolated';
	}

	return isStoppedLocally({model, version}) && !(isSettled && belowTarget) ? 'version-stopped' : 'allowed';
}

function servesWhileIsolated(serve: 'settled' | 'all' | 'none', isSettled: boolean): boolean {
	return match(serve)
		.with('all', () => true)
		.with('none', () => false)
		.with('settled', () => isSettled)
		.exhaustive();
}
