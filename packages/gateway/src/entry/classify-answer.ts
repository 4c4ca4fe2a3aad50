import {type AnswerHead} from './gateway-request.js';

/**
What the head of a backend server's answer makes of it:

- `other-request`: it answers another request, or does not say which, so the own one may have run;
- `not-run`: the server says that it did not run the request;
- `foreign`: a success without the server's signature, or with a body that something encoded;
- `failed`: a failure that the server answered;
- `good`: a success of its own.
*/
export type AnswerClass = 'other-request' | 'not-run' | 'foreign' | 'failed' | 'good';

const firstSuccess = 200;
const firstRedirection = 300;

/**
Classifies the head of an answer.

@param head The head.
@param ownId The id of the request that was sent.
@returns The class.
@example
```ts
classifyAnswer(head, 'a1');
```
*/
export function classifyAnswer({status, requestId, isNotRun, isSigned, isEncoded}: AnswerHead, ownId: string): AnswerClass {
	const isSuccess = status >= firstSuccess && status < firstRedirection;
	// Servers that reject a request need not say its id; a success must.
	if (requestId === undefined ? isSuccess : requestId !== ownId) {
		return 'other-request';
	}

	if (isNotRun) {
		return 'not-run';
	}

	if (!isSuccess) {
		return 'failed';
	}

	return isSigned && !isEncoded ? 'good' : 'foreign';
}
