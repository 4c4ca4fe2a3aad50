import {type EscalationConfiguration, type EscalationSign} from '@valehitch/core';
import {match} from 'ts-pattern';

/** The properties of an answer that decide on escalation. */
export type CheckedAnswer = {
	/** The engine's finish reason, such as `stop` or `length`. */
	readonly finishReason: string;
	/** The text of the answer. */
	readonly text: string;
	/** Whether the engine marked the answer as a refusal. */
	readonly refused: boolean;
	/** The engine's confidence from the answer header `Valehitch-Confidence`, from 0 to 1. Undefined if the engine reported none. */
	readonly confidence?: number;
};

/**
Finds the first escalation sign of the rule that a complete answer shows.

@param answer The answer of the first version.
@param escalation The escalation settings of the rule.
@returns The sign, or undefined if the answer is accepted.
@example
```ts
findEscalationSign({finishReason: 'length', text: 'The coil', refused: false}, rule.escalation); // 'truncated'
```
*/
export function findEscalationSign(answer: CheckedAnswer, escalation: EscalationConfiguration): EscalationSign | undefined {
	return escalation.signs.find(sign => hasSign(sign, answer, escalation.minimumConfidence));
}

function hasSign(sign: EscalationSign, answer: CheckedAnswer, minimumConfidence: number): boolean {
	return match(sign)
		.with('truncated', () => answer.finishReason === 'length')
		.with('refused', () => answer.refused || answer.finishReason === 'content_filter')
		.with('empty', () => answer.text.trim() === '')
		.with('low-confidence', () => answer.confidence !== undefined && answer.confidence < minimumConfidence)
		.exhaustive();
}
