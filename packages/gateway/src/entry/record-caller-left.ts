import {type EntryContext} from './entry-context.js';
import {type EndedRequest, recordRequestEnd} from './record-request-end.js';

/** A request that has not been sent, and whose connection is closed. */
export type LeftRequest = Pick<EndedRequest, 'request' | 'route' | 'arrivedAt'>;

const reason = 'The connection was closed before the request was sent';

/**
Records the end of a request whose caller has left before its run began, as while its body was arriving.

@param context The context of the instance.
@param left The request.
@example
```ts
recordCallerLeft(context, {request: 'a1', route, arrivedAt});
```
*/
export function recordCallerLeft(context: Pick<EntryContext, 'clock' | 'log' | 'metrics' | 'notes'>, left: LeftRequest): void {
	const outcome = 'caller-left';
	recordRequestEnd(context, {...left, outcome, fields: {sends: 0, reason}});
	context.notes.record(left.request, {at: context.clock.monotonic(), kind: outcome, facts: {reason}});
}
