import {
	type Configuration, type ModelConfiguration, type PolicyRule, type VersionConfiguration, type WorkspaceConfiguration,
} from '@valehitch/core';
import {type FieldPath, type Finding} from './finding.js';

type VersionPlace = {
	readonly path: FieldPath;
	readonly name: string;
	readonly siblings: ModelConfiguration['versions'];
};

type WorkspacePlace = {
	readonly path: FieldPath;
	readonly configuration: Configuration;
};

/**
Checks that everything an operators' document names exists and fits together.

@param configuration A document that fits core's `configurationSchema`.
@returns Every fault found, with the path of its field; none when the document is sound.
@example
```ts
const faults = checkReferences(configuration);
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
		const place = {path: ['workspaces', name], configuration};
		findings.push(...checkAllowed(workspace, place), ...checkServices(workspace, place), ...checkPolicy(workspace, place));
	}

	return findings;
}

function * checkVersion(version: VersionConfiguration, {path, name, siblings}: VersionPlace): Iterable<Finding> {
	const {state, replaces, stages} = version;
	if (replaces === name) {
		yield {path: [...path, 'replaces'], got: quote(replaces), wanted: 'another version than itself'};
	} else if (replaces !== undefined && !Object.hasOwn(siblings, replaces)) {
		yield {path: [...path, 'replaces'], got: quote(replaces), wanted: 'a version of the same model'};
	}

	if (state !== 'rolling-out') {
		return;
	}

	if (replaces === undefined) {
		yield {path: [...path, 'replaces'], got: 'nothing', wanted: 'the version that the roll-out replaces'};
	}

	if (stages === undefined) {
		yield {path: [...path, 'stages'], got: 'nothing', wanted: 'the stages of the roll-out'};
	}
}

function * checkAllowed({allowed}: WorkspaceConfiguration, {path, configuration}: WorkspacePlace): Iterable<Finding> {
	for (const [name, versions] of Object.entries<readonly string[]>(allowed)) {
		const model = ownValue<ModelConfiguration>(configuration.models, name);
		if (model === undefined) {
			yield {
				path: [...path, 'allowed', name], got: `the model ${quote(name)}`, wanted: 'a model under models', atKey: true,
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

function * checkServices({services}: WorkspaceConfiguration, {path, configuration}: WorkspacePlace): Iterable<Finding> {
	for (const [index, service] of services.entries()) {
		if (!Object.hasOwn(configuration.services, service)) {
			yield {path: [...path, 'services', index], got: quote(service), wanted: 'a service under services'};
		}
	}
}

function * checkPolicy(workspace: WorkspaceConfiguration, {path, configuration}: WorkspacePlace): Iterable<Finding> {
	for (const [index, rule] of workspace.policy.entries()) {
		yield * checkRule(rule, {path: [...path, 'policy', index, 'models'], workspace, configuration});
	}
}

function * checkRule({models}: PolicyRule, {path, workspace, configuration}: WorkspacePlace & {workspace: WorkspaceConfiguration}): Iterable<Finding> {
	for (const [index, model] of models.entries()) {
		if (!Object.hasOwn(configuration.models, model)) {
			yield {path: [...path, index], got: quote(model), wanted: 'a model under models'};
		} else if (!Object.hasOwn(workspace.allowed, model)) {
			yield {path: [...path, index], got: quote(model), wanted: 'a model that the workspace is allowed'};
		}
	}
}

function ownValue<Value>(record: Readonly<Record<string, Value>>, key: string): Value | undefined {
	return Object.hasOwn(record, key) ? record[key] : undefined;
}

function quote(text: string): string {
	return JSON.stringify(text);
}
