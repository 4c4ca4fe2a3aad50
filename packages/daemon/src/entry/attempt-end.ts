import {type Outcome} from '@valehitch/core';
import {match} from 'ts-pattern';
import {type AttemptOutput} from './attempt-output.js';

/** How an attempt ended, or what is known of it where it fell silent. */
export type AttemptEnd = {
	readonly outcome: Outcome;
	/** What came of it, in words. */
	readonly reason: string;
	/** Whether it failed by the server's fault. */
	readonly failed: boolean;
};

/**
Tells from its last output how an attempt ended, or what is known of one that fell silent.

@param output The output.
@returns The end.
@example
```ts
attemptEnd({type: 'never-sent', message: 'Got no connection'}).outcome; // 'notRun'
```
*/
export function attemptEnd(output: AttemptOutput): AttemptEnd {
	return match<AttemptOutput, AttemptEnd>(output)
		.with({type: 'complete'}, {type: 'head'}, {type: 'piece'}, () => ({outcome: 'ran', reason: 'complete', failed: false}))
		.with({type: 'not-run'}, ({message}) => ({outcome: 'notRun', reason: message, failed: false}))
		.with({type: 'never-sent'}, ({message}) => ({outcome: 'notRun', reason: message, failed: true}))
		.with({type: 'failed'}, ({message}) => ({outcome: 'ran', reason: message, failed: true}))
		// Where the server has ended, the next attempt finds that out.
		.with({type: 'kept-connection-lost'}, ({message}) => ({outcome: 'unknown', reason: message, failed: false}))
		.with({type: 'broken'}, {type: 'silent'}, ({message}) => ({outcome: 'unknown', reason: message, failed: true}))
		.exhaustive();
}
