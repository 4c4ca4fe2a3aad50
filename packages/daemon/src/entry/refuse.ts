import {type ServerResponse} from 'node:http';
import {type Failure, outcomeOf, type RequestId} from '@valehitch/core';
import {sendProblem} from '@valehitch/transport';
import {type EntryContext} from './entry-context.js';

/** A call to refuse. */
export type RefusedCall = {
	readonly response: ServerResponse;
	readonly requestId: RequestId;
};

/**
Responds to a call with a failure, counts the failure by kind and records it in the timeline.

@param call The call.
@param failed The failure.
@param context The shared state of the entry component.
@example
```ts
refuse(call, failure('unauthenticated', 'Missing API key'), context);
```
*/
export function refuse(call: RefusedCall, failed: Failure, context: EntryContext): void {
	context.metrics.increment('request.refused', {kind: failed.kind});
	context.timeline.record('request-refused', {requestId: call.requestId, details: {kind: failed.kind, outcome: outcomeOf(failed), message: failed.message}});
	// A connection that is closed while the body still comes is reset, and the caller loses the refusal.
	if (context.requests.stopping && call.response.req.complete) {
		call.response.shouldKeepAlive = false;
	}

	sendProblem(call.response, failed, {requestId: call.requestId});
}
