import {type AttemptEvent, type DispatchDenialReason} from '@valehitch/routing';
import {match} from 'ts-pattern';
import {type AttemptOutput} from '../attempt-output.js';

/**
Converts an output of an attempt into an event of the request's state machine.

@param attempt The attempt's number.
@param output The output.
@param denial Why the last check did not allow a send that is withheld; by default, its target is not allowed any more.
@returns The event.
@example
```ts
toRequestEvent(1, {type: 'never-sent', message: 'Connection refused'}); // {type: 'attempt-never-sent', attempt: 1}
```
*/
export function toRequestEvent(attempt: number, output: AttemptOutput, denial: DispatchDenialReason = 'not-allowed'): AttemptEvent {
	return match<AttemptOutput, AttemptEvent>(output)
		.with({type: 'piece'}, ({piece: {offset, length, tokens}}) => ({
			type: 'attempt-piece', attempt, offset, length, tokens,
		}))
		.with({type: 'never-sent'}, () => ({type: 'attempt-never-sent', attempt}))
		.with({type: 'withheld'}, () => ({type: 'dispatch-denied', attempt, reason: denial}))
		.with({type: 'not-run'}, ({retryAfterMilliseconds}) => ({
			type: 'attempt-not-run', attempt, ...(retryAfterMilliseconds !== undefined && {retryAfterMilliseconds}),
		}))
		.with({type: 'head'}, () => ({type: 'attempt-head', attempt}))
		.with({type: 'complete'}, ({offset, usage}) => ({
			type: 'attempt-complete', attempt, offset, usage,
		}))
		.with({type: 'failed'}, ({message}) => ({type: 'attempt-failed', attempt, message}))
		.with({type: 'broken'}, ({message}) => ({type: 'attempt-broken', attempt, message}))
		.with({type: 'kept-connection-lost'}, ({message}) => ({type: 'attempt-connection-lost', attempt, message}))
		.with({type: 'silent'}, () => ({type: 'attempt-silent', attempt}))
		.exhaustive();
}
