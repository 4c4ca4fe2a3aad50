import {discardResponse, type HttpResponse} from '@valehitch/transport';
import {type AttemptOutput} from './attempt-output.js';

const serviceUnavailable = 503;
const millisecondsPerSecond = 1000;
const secondsPattern = /^\d{1,6}$/v;

/**
Detects a response by which a backend server reports that it did not run a request.

@param answer The response; its body is discarded if it reports that the request did not run.
@returns The output of the attempt, or undefined for any other response.
@example
```ts
readNotRun(answer)?.type; // 'not-run'
```
*/
export function readNotRun({status, headers, message}: HttpResponse): AttemptOutput | undefined {
	if (status !== serviceUnavailable || headers['valehitch-outcome'] !== 'notRun') {
		return undefined;
	}

	discardResponse(message);
	const seconds = headers['retry-after'] ?? '';
	return {
		type: 'not-run',
		message: 'Backend server refused the request without running it',
		...(secondsPattern.test(seconds) && {retryAfterMilliseconds: Number(seconds) * millisecondsPerSecond}),
	};
}
