import {
	type Configuration, type Failure, failure, type PolicyRule, type RequestFacts, type WorkspaceId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {compileCondition, type Condition} from './compile-condition.js';

/** A compiled policy program. Returns the rule that applies to a request, if any. */
export type Policy = (facts: RequestFacts) => PolicyRule | undefined;

/** The compiled policy programs of a configuration, by workspace. */
export type Policies = ReadonlyMap<WorkspaceId, Policy>;

type CompiledRule = {
	readonly rule: PolicyRule;
	readonly matches: Condition;
};

/**
Compiles the policy programs of all workspaces.

@param configuration The configuration document.
@returns The programs, or a failure that names the workspace and the rule with the invalid condition.
@example
```ts
compilePolicies(configuration).map(policies => policies.get(workspace)?.(facts));
```
*/
export function compilePolicies(configuration: Configuration): Either<Failure, Policies> {
	const policies = new Map<WorkspaceId, Policy>();
	for (const [workspace, {policy}] of Object.entries(configuration.workspaces)) {
		const compiled: CompiledRule[] = [];
		for (const [index, rule] of policy.entries()) {
			const condition = compileCondition(rule.when ?? 'true');
			if (condition.isLeft()) {
				return Left(failure('invalid-configuration', `workspaces.${workspace}.policy[${index}].when: ${String(condition.extract())}`));
			}

			compiled.push({rule, matches: condition.unsafeCoerce()});
		}

		policies.set(workspace as WorkspaceId, facts => firstMatchingRule(compiled, facts));
	}

	return Right(policies);
}

function firstMatchingRule(rules: readonly CompiledRule[], facts: RequestFacts): PolicyRule | undefined {
	for (const {rule, matches} of rules) {
		if (matches(facts)) {
			return rule;
		}
	}

	return undefined;
}
