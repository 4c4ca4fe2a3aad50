import {
	type Configuration, type ModelId, type RequestFacts, type VersionId, type WorkspaceId,
} from '@valehitch/core';
import {type Policies} from '@valehitch/policy';

/** A model and version chosen by the naive router. */
export type NaiveChoice = {
	readonly model: ModelId;
	readonly version: VersionId;
};

/** Inputs of the naive choice other than the request. */
export type NaiveChoiceOptions = {
	readonly document: Configuration;
	readonly policies: Policies;
	readonly workspace: WorkspaceId;
};

/**
Chooses the first allowed version, in document order, that is not withdrawn and whose listed quality meets the target.

@param facts The request.
@param options The configuration, the compiled policies and the workspace.
@returns The version, or undefined if none qualifies.
@example
```ts
naiveChoice(facts, {document, policies, workspace});
```
*/
export function naiveChoice(facts: RequestFacts, {document, policies, workspace}: NaiveChoiceOptions): NaiveChoice | undefined {
	const rule = policies.get(workspace)?.(facts);
	const allowed = document.workspaces[workspace]?.allowed ?? {};
	for (const model of rule?.models ?? []) {
		if (facts.model !== 'auto' && facts.model !== model) {
			continue;
		}

		for (const version of allowed[model] ?? []) {
			const details = document.models[model]?.versions[version];
			if (details !== undefined && details.state !== 'withdrawn' && details.quality >= (rule?.qualityTarget ?? 0)) {
				return {model, version};
			}
		}
	}

	return undefined;
}
