import {type Outcome} from '@valehitch/core';
import {match} from 'ts-pattern';
import {type AttemptOutput} from './attempt-output.js';

/** The result of an attempt, or what is known so far about an attempt that has stalled. */
export type AttemptEnd = {
	readonly outcome: Outcome;
	/** A human-readable description of the result. */
	readonly reason: string;
	/** Whether the failure is attributed to the server. */
	readonly failed: boolean;
};

/**
Derives the result of an attempt from its last output, or from the `silent` output of an attempt that has stalled.

@param output The last output of the attempt.
@returns The result.
@example
```ts
attemptEnd({type: 'never-sent', message: 'Connection refused'}).outcome; // 'notRun'
```
*/
export function attemptEnd(output: AttemptOutput): AttemptEnd {
	return match<AttemptOutput, AttemptEnd>(output)
		.with({type: 'complete'}, {type: 'head'}, {type: 'piece'}, () => ({outcome: 'ran', reason: 'complete', failed: false}))
		.with({type: 'not-run'}, {type: 'withheld'}, ({message}) => ({outcome: 'notRun', reason: message, failed: false}))
		.with({type: 'never-sent'}, ({message}) => ({outcome: 'notRun', reason: message, failed: true}))
		.with({type: 'failed'}, ({message}) => ({outcome: 'ran', reason: message, failed: true}))
		// Closing an idle connection is no fault of the server; if the server is down, the next attempt detects it.
		.with({type: 'kept-connection-lost'}, ({message}) => ({outcome: 'unknown', reason: message, failed: false}))
		.with({type: 'broken'}, {type: 'silent'}, ({message}) => ({outcome: 'unknown', reason: message, failed: true}))
		.exhaustive();
}
