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
Compiles a CEL condition and checks its types.

The condition sees `request` with `class`, `model`, `stream`, `promptTokens`, `maxTokens` and `session`.

@param expression The condition in CEL; it must give a truth value.
@returns The condition, or what is wrong with the expression in one line. A condition that fails while it is evaluated counts as false.
@example
```ts
compileCondition('request.class == "lookup" && request.promptTokens < 400');
```
*/
export function compileCondition(expression: string): Either<string, Condition> {
	const checked = environment.check(expression);
	if (!checked.valid) {
		return Left(firstLine(checked.error?.message ?? 'Not a valid condition'));
	}

	if (checked.type !== 'bool') {
		return Left(`Got a condition of type ${String(checked.type)}, wanted bool`);
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
