import {type HttpAnswer} from '@valehitch/transport';
import {type AttemptOutput} from './attempt-output.js';

const serviceUnavailable = 503;
const millisecondsPerSecond = 1000;
const secondsPattern = /^\d{1,6}$/v;

/**
Reads a backend server's own word that it did not run a request.

@param answer The head of its answer; the body is passed over where the word was given.
@returns The output of the attempt, or undefined where the server gave no such word.
@example
```ts
readNotRun(answer)?.type; // 'not-run'
```
*/
export function readNotRun({status, headers, message}: HttpAnswer): AttemptOutput | undefined {
	if (status !== serviceUnavailable || headers['valehitch-outcome'] !== 'notRun') {
		return undefined;
	}

	message.resume();
	const seconds = headers['retry-after'] ?? '';
	return {
		type: 'not-run',
		message: 'Got the refusal of a backend server, which did not run the request',
		...(secondsPattern.test(seconds) && {retryAfterMilliseconds: Number(seconds) * millisecondsPerSecond}),
	};
}
