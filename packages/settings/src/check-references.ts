import {
	type Configuration, type ModelConfiguration, type PolicyRule, type VersionConfiguration, type WorkspaceConfiguration,
} from '@valehitch/core';
import {type FieldPath, type Finding} from './finding.js';

type VersionContext = {
	readonly path: FieldPath;
	readonly name: string;
	readonly siblings: ModelConfiguration['versions'];
};

type WorkspaceContext = {
	readonly path: FieldPath;
	readonly configuration: Configuration;
};

/**
Checks that all references in an operators' configuration resolve and are consistent.

@param configuration A configuration that matches `configurationSchema` of the core package.
@returns A finding for each invalid reference; empty if the configuration is valid.
@example
```ts
const findings = checkReferences(configuration);
```
*/
export function checkReferences(configuration: Configuration): readonly Finding[] {
	const findings: Finding[] = [];
	for (const [name, {versions}] of Object.entries<ModelConfiguration>(configuration.models)) {
		for (const [version, settings] of Object.entries<VersionConfiguration>(versions)) {
			findings.push(...checkVersion(settings, {path: ['models', name, 'versions', version], name: version, siblings: versions}));
		}
	}

	for (const [name, workspace] of Object.entries<WorkspaceConfiguration>(configuration.workspaces)) {
		const context = {path: ['workspaces', name], configuration};
		findings.push(...checkAllowed(workspace, context), ...checkServices(workspace, context), ...checkPolicy(workspace, context));
	}

	return findings;
}

function * checkVersion(version: VersionConfiguration, {path, name, siblings}: VersionContext): Iterable<Finding> {
	const {state, replaces, stages} = version;
	if (replaces === name) {
		yield {path: [...path, 'replaces'], got: quote(replaces), wanted: 'a different version'};
	} else if (replaces !== undefined && !Object.hasOwn(siblings, replaces)) {
		yield {path: [...path, 'replaces'], got: quote(replaces), wanted: 'a version of the same model'};
	}

	if (state !== 'rolling-out') {
		return;
	}

	if (replaces === undefined) {
		yield {path: [...path, 'replaces'], got: 'nothing', wanted: 'the version that the rollout replaces'};
	}

	if (stages === undefined) {
		yield {path: [...path, 'stages'], got: 'nothing', wanted: 'the stages of the rollout'};
	}
}

function * checkAllowed({allowed}: WorkspaceConfiguration, {path, configuration}: WorkspaceContext): Iterable<Finding> {
	for (const [name, versions] of Object.entries<readonly string[]>(allowed)) {
		const model = getOwnValue<ModelConfiguration>(configuration.models, name);
		if (model === undefined) {
			yield {
				path: [...path, 'allowed', name], got: `the model ${quote(name)}`, wanted: 'a model under models', concernsKey: true,
			};
			continue;
		}

		for (const [index, version] of versions.entries()) {
			if (!Object.hasOwn(model.versions, version)) {
				yield {path: [...path, 'allowed', name, index], got: quote(version), wanted: `a version of ${name}`};
			}
		}
	}
}

function * checkServices({services}: WorkspaceConfiguration, {path, configuration}: WorkspaceContext): Iterable<Finding> {
	for (const [index, service] of services.entries()) {
		if (!Object.hasOwn(configuration.services, service)) {
			yield {path: [...path, 'services', index], got: quote(service), wanted: 'a service under services'};
		}
	}
}

function * checkPolicy(workspace: WorkspaceConfiguration, {path, configuration}: WorkspaceContext): Iterable<Finding> {
	for (const [index, rule] of workspace.policy.entries()) {
		yield * checkRule(rule, {path: [...path, 'policy', index, 'models'], workspace, configuration});
	}
}

function * checkRule({models}: PolicyRule, {path, workspace, configuration}: WorkspaceContext & {workspace: WorkspaceConfiguration}): Iterable<Finding> {
	for (const [index, model] of models.entries()) {
		if (!Object.hasOwn(configuration.models, model)) {
			yield {path: [...path, index], got: quote(model), wanted: 'a model under models'};
		} else if (!Object.hasOwn(workspace.allowed, model)) {
			yield {path: [...path, index], got: quote(model), wanted: 'a model under allowed'};
		}
	}
}

function getOwnValue<Value>(record: Readonly<Record<string, Value>>, key: string): Value | undefined {
	return Object.hasOwn(record, key) ? record[key] : undefined;
}

function quote(text: string): string {
	return JSON.stringify(text);
}
