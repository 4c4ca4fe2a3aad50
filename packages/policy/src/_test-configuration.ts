import {
	type EffectiveConfiguration, type ModelId, type ModelRequest, type PolicyRule, type RequestId, toId, toRevision, type VersionConfiguration, type VersionId, versionKey, type WorkspaceId,
} from '@valehitch/core';
import {type VersionTarget} from './version-target.js';

/** The seed of all property tests and random streams. Failure messages include it. */
export const testSeed = 20_261_202;

export const yard = toId<WorkspaceId>('yard');

export function target(model: string, version: string): VersionTarget {
	return {model: toId<ModelId>(model), version: toId<VersionId>(version)};
}

export function settledVersion(quality: number, price: number): VersionConfiguration {
	return {state: 'settled', quality, prices: {input: price, output: price}};
}

export function rollingOutVersion(quality: number, share: number): VersionConfiguration {
	return {
		...settledVersion(quality, 1), state: 'rolling-out', replaces: toId<VersionId>('1'), stages: [{share, minimumRatings: 0, minimumSeconds: 0}],
	};
}

/** Creates a configuration with workspace `yard`, which may use all versions except those in `forbidden`. All rollouts are running. */
export function configurationOf(models: Record<string, Record<string, VersionConfiguration>>, forbidden: readonly string[] = []): EffectiveConfiguration {
	const allowed: Record<string, VersionId[]> = {};
	const rollouts: Record<string, EffectiveConfiguration['rollouts'][string]> = {};
	for (const [model, versions] of Object.entries(models)) {
		allowed[model] = [];
		for (const [version, {state}] of Object.entries(versions)) {
			const versionTarget = target(model, version);
			const key = versionKey(versionTarget.model, versionTarget.version);
			if (!forbidden.includes(key)) {
				allowed[model].push(versionTarget.version);
			}

			if (state === 'rolling-out') {
				rollouts[key] = {
					...versionTarget, stage: 0, status: 'running', stageStartedAt: 0,
				};
			}
		}
	}

	const document = {
		models: Object.fromEntries(Object.entries(models).map(([model, versions]) => [model, {versions}])),
		services: {},
		workspaces: {
			[yard]: {
				keyDigests: [], weight: 1, allowed, services: [], policy: [],
			},
		},
	};
	return {revision: toRevision(1), document, rollouts};
}

export function ruleOf(models: readonly string[], changes: Partial<PolicyRule> = {}): PolicyRule {
	return {
		name: 'lookup', models: models.map(model => toId<ModelId>(model)), qualityTarget: 0.8, deadlineMilliseconds: 5000, priority: 5, ...changes,
	};
}

export function requestOf(id = 'r1', facts: Partial<ModelRequest['facts']> = {}): ModelRequest {
	return {
		id: toId<RequestId>(id),
		workspace: yard,
		facts: {
			class: '', model: 'auto', stream: false, promptTokens: 100, maxTokens: 100, session: false, ...facts,
		},
	};
}
