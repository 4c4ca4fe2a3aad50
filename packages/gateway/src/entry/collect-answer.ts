import {type HeldBytes} from '@valehitch/routing';
import {type CompleteAnswer} from './caller-answer.js';
import {collectBody} from './collect-body.js';
import {type EntryContext} from './entry-context.js';
import {type ReceivedHead} from './send-attempt.js';

/** Options of {@linkcode collectAnswer}. */
export type CollectAnswerOptions = {
	readonly context: Pick<EntryContext, 'dialect' | 'memory'>;
	/** The bytes that are held for the request. */
	readonly held: HeldBytes;
	/** Called with the reason if the body is broken off for its length. */
	readonly onExcess?: (reason: string) => void;
	/** Called with the bytes that were collected if no more may be held. */
	readonly onNoRoom?: (bytes: number) => void;
};

/**
Reads the whole answer of a backend server.

@param received The head of the answer.
@param options Where the bytes are counted.
@returns The answer to forward; undefined if its body ended early, or was broken off for its length.
@example
```ts
const answer = await collectAnswer(received, {context, held});
```
*/
export async function collectAnswer({message, isComplete}: ReceivedHead, {context: {dialect, memory}, held, onExcess, onNoRoom}: CollectAnswerOptions): Promise<CompleteAnswer | undefined> {
	const body = await collectBody(message, isComplete, {
		held, mayHold: bytes => memory.mayCollect(bytes), onExcess, onNoRoom,
	});
	return body && {
		status: message.statusCode ?? 0, headers: dialect.answerHeaders(message), body, statedLength: message.headers['content-length'],
	};
}
