import {type AnswerPiece, type AttemptOutput} from './attempt-output.js';

/**
Joins adjacent text pieces, so that the data of one read needs one state machine step and one write.

@param outputs The outputs of one read, in order.
@returns The outputs with adjacent text pieces joined.
@example
```ts
joinPieces([first, second, complete]); // [firstAndSecond, complete]
```
*/
export function joinPieces(outputs: readonly AttemptOutput[]): readonly AttemptOutput[] {
	const joined: AttemptOutput[] = [];
	let last: AnswerPiece | undefined;
	for (const output of outputs) {
		const piece = output.type === 'piece' ? output.piece : undefined;
		const merged = last && piece && joinTextPieces(last, piece);
		if (merged !== undefined) {
			joined.pop();
		}

		joined.push(merged === undefined ? output : {type: 'piece', piece: merged});
		last = merged ?? piece;
	}

	return joined;
}

function joinTextPieces(left: AnswerPiece, right: AnswerPiece): AnswerPiece | undefined {
	if (left.text === undefined || right.text === undefined || typeof left.payload !== 'string' || typeof right.payload !== 'string') {
		return undefined;
	}

	return {
		offset: left.offset,
		length: left.length + right.length,
		tokens: left.tokens + right.tokens,
		payload: left.payload + right.payload,
		text: left.text + right.text,
	};
}
