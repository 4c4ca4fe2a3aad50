import {
	type Configuration, type Failure, failure, type PolicyRule, type RequestFacts, type WorkspaceId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {compileCondition, type Condition} from './compile-condition.js';

/** A policy program that is ready to run: gives the rule of a request, if one holds. */
export type Policy = (facts: RequestFacts) => PolicyRule | undefined;

/** The policy programs of a configuration, by workspace. */
export type Policies = ReadonlyMap<WorkspaceId, Policy>;

type CompiledRule = {
	readonly rule: PolicyRule;
	readonly holds: Condition;
};

/**
Compiles the policy programs of all workspaces.

@param configuration The operators' document.
@returns The programs, or a failure that names the workspace and the rule whose condition is wrong.
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

			compiled.push({rule, holds: condition.unsafeCoerce()});
		}

		policies.set(workspace as WorkspaceId, facts => firstRule(compiled, facts));
	}

	return Right(policies);
}

function firstRule(rules: readonly CompiledRule[], facts: RequestFacts): PolicyRule | undefined {
	for (const {rule, holds} of rules) {
		if (holds(facts)) {
			return rule;
		}
	}

	return undefined;
}
