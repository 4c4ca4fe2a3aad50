import {type HttpCallFailure} from '@valehitch/transport';
import {type AttemptOutput} from './attempt-output.js';

/**
Tells what came of an attempt that got no head of an answer.

@param failed Why there is none.
@param asked What was asked, `engine` or `service`.
@returns The only output of the attempt.
@example
```ts
unansweredOutput({neverSent: true, onKeptConnection: false, message: 'connect ECONNREFUSED'}, 'engine').type; // 'never-sent'
```
*/
export function unansweredOutput({neverSent, onKeptConnection, message}: HttpCallFailure, asked: 'engine' | 'service'): AttemptOutput {
	const type = onKeptConnection ? 'kept-connection-lost' : 'broken';
	return {type: neverSent ? 'never-sent' : type, message: `Got no answer from the ${asked}: ${message}`};
}
