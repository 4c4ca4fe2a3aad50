import {type AnswerHead} from './gateway-request.js';

/**
The class of a backend server's answer according to its head:

- `other-request`: the answer names another request, or is a success that names none, so the request that was sent may have run;
- `not-run`: the server reports that it did not run the request;
- `unverified`: a success without the server's signature, or with a body that an intermediary encoded;
- `failed`: an error status of the server;
- `good`: a signed success.
*/
export type AnswerClass = 'other-request' | 'not-run' | 'unverified' | 'failed' | 'good';

const firstSuccess = 200;
const firstRedirection = 300;

/**
Classifies the head of an answer.

@param head The head.
@param sentId The id of the request that was sent.
@returns The class.
@example
```ts
classifyAnswer(head, 'a1');
```
*/
export function classifyAnswer({status, requestId, isNotRun, isSigned, isEncoded}: AnswerHead, sentId: string): AnswerClass {
	const isSuccess = status >= firstSuccess && status < firstRedirection;
	// A server may omit the request id when it rejects a request, but not in a success.
	if (requestId === undefined ? isSuccess : requestId !== sentId) {
		return 'other-request';
	}

	if (isNotRun) {
		return 'not-run';
	}

	if (!isSuccess) {
		return 'failed';
	}

	return isSigned && !isEncoded ? 'good' : 'unverified';
}
