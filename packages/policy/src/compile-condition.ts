import {Environment} from '@marcbachmann/cel-js';
import {type RequestFacts} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';

/** A compiled condition of a policy rule. */
export type Condition = (facts: RequestFacts) => boolean;

const conditionLimits = {
	maxAstNodes: 500,
	maxDepth: 40,
	maxListElements: 200,
	maxMapEntries: 50,
	maxCallArguments: 8,
};

const environment = new Environment({limits: conditionLimits}).registerVariable({
	name: 'request',
	schema: {
		class: 'string',
		model: 'string',
		stream: 'bool',
		promptTokens: 'int',
		maxTokens: 'int',
		session: 'bool',
	},
});

/**
Compiles and type-checks a CEL condition.

The condition can access `class`, `model`, `stream`, `promptTokens`, `maxTokens` and `session` of `request`.

@param expression The condition in CEL. Must evaluate to a boolean.
@returns The condition, or a one-line error message. A condition whose evaluation fails counts as false.
@example
```ts
compileCondition('request.class == "lookup" && request.promptTokens < 400');
```
*/
export function compileCondition(expression: string): Either<string, Condition> {
	const checked = environment.check(expression);
	if (!checked.valid) {
		return Left(firstLine(checked.error?.message ?? 'The condition is not valid CEL'));
	}

	if (checked.type !== 'bool') {
		return Left(`The condition has type ${String(checked.type)}, expected bool`);
	}

	const program = environment.parse(expression);
	return Right(facts => evaluate(program, facts));
}

function evaluate(program: (context: Record<string, unknown>) => unknown, facts: RequestFacts): boolean {
	try {
		return program({
			request: {
				...facts,
				promptTokens: BigInt(Math.round(facts.promptTokens)),
				maxTokens: BigInt(Math.round(facts.maxTokens)),
			},
		}) === true;
	} catch {
		return false;
	}
}

function firstLine(message: string): string {
	return message.split('\n', 1)[0] ?? message;
}
