import {type ServerResponse} from 'node:http';
import {type Failure, outcomeOf, type RequestId} from '@valehitch/core';
import {answerProblem} from '@valehitch/transport';
import {type EntryContext} from './entry-context.js';

/** The call that is refused. */
export type RefusedCall = {
	readonly response: ServerResponse;
	readonly requestId: RequestId;
};

/**
Answers a call with a failure, counts it by kind and records it.

@param call The call.
@param failed The failure.
@param context What the entry works with.
@example
```ts
refuse(call, failure('unauthenticated', 'Got no key'), context);
```
*/
export function refuse(call: RefusedCall, failed: Failure, context: EntryContext): void {
	context.metrics.increment('request.refused', {kind: failed.kind});
	context.timeline.record('request-refused', {requestId: call.requestId, details: {kind: failed.kind, outcome: outcomeOf(failed), message: failed.message}});
	answerProblem(call.response, failed, {requestId: call.requestId});
}
