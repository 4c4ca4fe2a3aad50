import {type CheckedAnswer} from '@valehitch/policy';
import * as z from 'zod';
import {type AnswerHead, type AnswerPiece} from './attempt-output.js';

/** A complete answer that a cascade evaluates. */
export type CompleteAnswer = {
	readonly head: AnswerHead | undefined;
	readonly pieces: readonly AnswerPiece[];
};

const answerSchema = z.looseObject({
	choices: z.array(z.looseObject({
		finish_reason: z.string().nullish(),
		message: z.looseObject({content: z.string().nullish(), refusal: z.string().nullish()}).nullish(),
	})).min(1),
});

/**
Extracts the properties of a complete chat answer by which a cascade decides whether to escalate.

@param answer The complete answer.
@returns The properties; empty values if the body is not a chat completion.
@example
```ts
findEscalationSign(readCheckedAnswer(answer), rule.escalation);
```
*/
export function readCheckedAnswer({head, pieces}: CompleteAnswer): CheckedAnswer {
	const body = pieces.map(({payload}) => typeof payload === 'string' ? payload : new TextDecoder().decode(payload)).join('');
	const choice = parse(body)?.choices[0];
	const confidence = Number(head?.headers['Valehitch-Confidence'] ?? Number.NaN);
	return {
		finishReason: choice?.finish_reason ?? '',
		text: choice?.message?.content ?? '',
		refused: typeof choice?.message?.refusal === 'string',
		...(Number.isFinite(confidence) && {confidence}),
	};
}

function parse(body: string): z.infer<typeof answerSchema> | undefined {
	try {
		return answerSchema.safeParse(JSON.parse(body)).data;
	} catch {
		return undefined;
	}
}
