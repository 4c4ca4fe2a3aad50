import {type EffectiveConfiguration, versionKey, type WorkspaceId} from '@valehitch/core';
import {match} from 'ts-pattern';
import {own} from './_own.js';
import {type VersionTarget} from './version-target.js';

/** Whether a request may be sent to a version now; all but `allowed` are reasons why not. */
export type DispatchVerdict = 'allowed' | 'not-allowed' | 'version-withdrawn' | 'version-stopped' | 'isolated';

/** What a dispatch is checked for. */
export type MayDispatchOptions = VersionTarget & {
	readonly workspace: WorkspaceId;
	/** Whether the configuration lease of this instance has run out. */
	readonly isolated: boolean;
	/** What an isolated instance may use (the setting `isolation.serve`); `settled` unless given. */
	readonly isolatedServe?: 'settled' | 'all' | 'none';
	/** Whether this instance has stopped the version on its own; never unless given. */
	readonly isStoppedHere?: (target: VersionTarget) => boolean;
	/** Whether the choice was below the target; a settled version that only this instance has stopped may then serve. */
	readonly belowTarget?: boolean;
};

/**
Tells whether a version may get new work of a workspace; called right before every dispatch, retries, hedges, resumes and escalations included.

@param configuration The configuration in force.
@param options The workspace, the version and the state of this instance.
@returns `allowed`, or why not: the workspace may not use the version, it is withdrawn or not configured, it is stopped, or the instance is isolated and the version is not settled.
@example
```ts
mayDispatch(configuration, {workspace, model, version, isolated: false}); // 'allowed'
```
*/
export function mayDispatch(configuration: EffectiveConfiguration, options: MayDispatchOptions): DispatchVerdict {
	const {document, rollouts} = configuration;
	const {model, version} = options;
	if (!allows(configuration, options)) {
		return 'not-allowed';
	}

	const state = own(own(document.models, model)?.versions, version)?.state ?? 'withdrawn';
	const rollout = own(rollouts, versionKey(model, version));
	if (state === 'withdrawn') {
		return 'version-withdrawn';
	}

	const isSettled = state === 'settled' || rollout?.status === 'completed';
	return rollout?.status === 'stopped' || (!isSettled && rollout?.status !== 'running')
		? 'version-stopped'
		: checkInstance(options, isSettled);
}

function allows({document}: EffectiveConfiguration, {workspace, model, version}: MayDispatchOptions): boolean {
	return own(own(document.workspaces, workspace)?.allowed, model)?.includes(version) === true;
}

function checkInstance(options: MayDispatchOptions, isSettled: boolean): DispatchVerdict {
	const {
		model, version, isolated, isolatedServe = 'settled', isStoppedHere = () => false, belowTarget = false,
	} = options;
	if (isolated && !servesIsolated(isolatedServe, isSettled)) {
		return 'isolated';
	}

	return isStoppedHere({model, version}) && !(isSettled && belowTarget) ? 'version-stopped' : 'allowed';
}

function servesIsolated(serve: 'settled' | 'all' | 'none', isSettled: boolean): boolean {
	return match(serve)
		.with('all', () => true)
		.with('none', () => false)
		.with('settled', () => isSettled)
		.exhaustive();
}
