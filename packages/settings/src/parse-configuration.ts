import {configurationSchema, type Configuration, type WorkspaceConfiguration} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {checkReferences} from './check-references.js';
import {type DocumentProblem} from './document-problem.js';
import {type Finding} from './finding.js';
import {parseDocument} from './parse-document.js';

/** Validates a CEL condition; returns the reason as a `Left` if it is invalid. */
export type CheckCondition = (expression: string) => Either<string, unknown>;

/** Options for `parseConfiguration`. */
export type ParseConfigurationOptions = {
	/** Validates the condition of each policy rule; by default conditions are not validated. */
	readonly checkCondition?: CheckCondition | undefined;
};

/**
Parses and validates the operators' configuration.

@param text The text of the document, in YAML or JSON.
@param file The file name to report in problems.
@param options How to validate conditions.
@returns The configuration with defaults applied, or all problems found.
@example
```ts
parseConfiguration(await readFile('configuration.yaml', 'utf8'), 'configuration.yaml');
```
*/
export function parseConfiguration(text: string, file: string, options: ParseConfigurationOptions = {}): Either<readonly DocumentProblem[], Configuration> {
	const {checkCondition} = options;
	return parseDocument(text, {
		file,
		schema: configurationSchema,
		check: configuration => [
			...checkReferences(configuration),
			...(checkCondition ? checkConditions(configuration, checkCondition) : []),
		],
	});
}

function checkConditions(configuration: Configuration, checkCondition: CheckCondition): readonly Finding[] {
	const findings: Finding[] = [];
	for (const [name, {policy}] of Object.entries<WorkspaceConfiguration>(configuration.workspaces)) {
		for (const [index, {when}] of policy.entries()) {
			if (when !== undefined) {
				const path = ['workspaces', name, 'policy', index, 'when'];
				checkCondition(when).ifLeft(reason => findings.push({path, got: JSON.stringify(when), wanted: `a CEL condition (${reason})`}));
			}
		}
	}

	return findings;
}
