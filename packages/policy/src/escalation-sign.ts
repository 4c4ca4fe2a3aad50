import {type EscalationConfiguration, type EscalationSign} from '@valehitch/core';
import {match} from 'ts-pattern';

/** What the check of an answer looks at. */
export type CheckedAnswer = {
	/** Why the engine ended the answer, such as `stop` or `length`. */
	readonly finishReason: string;
	/** The text of the answer. */
	readonly text: string;
	/** Whether the engine marked the answer as a refusal. */
	readonly refused: boolean;
	/** The engine's own confidence, from 0 to 1 (the answer header `Valehitch-Confidence`); undefined where it gave none. */
	readonly confidence?: number;
};

/**
Finds the sign in a whole answer that calls for escalation.

@param answer The answer of the first version.
@param escalation The rule's escalation.
@returns The first sign of the rule that the answer shows, or undefined when the answer is accepted.
@example
```ts
escalationSign({finishReason: 'length', text: 'The coil', refused: false}, rule.escalation); // 'truncated'
```
*/
export function escalationSign(answer: CheckedAnswer, escalation: EscalationConfiguration): EscalationSign | undefined {
	return escalation.signs.find(sign => shows(sign, answer, escalation.minimumConfidence));
}

function shows(sign: EscalationSign, answer: CheckedAnswer, minimumConfidence: number): boolean {
	return match(sign)
		.with('truncated', () => answer.finishReason === 'length')
		.with('refused', () => answer.refused || answer.finishReason === 'content_filter')
		.with('empty', () => answer.text.trim() === '')
		.with('low-confidence', () => answer.confidence !== undefined && answer.confidence < minimumConfidence)
		.exhaustive();
}
