import {type Failure, failure} from '@valehitch/core';

/** What is known of a request whose time is over. */
export type ExpiryFailureOptions = {
	/** Whether a send of the request may have reached a server. */
	readonly mayHaveRun: boolean;
	/** How long the request was here, in milliseconds. */
	readonly waited: number;
	/** What became of the last send. */
	readonly lastProblem: string;
	/** When a place should be free again, in milliseconds. */
	readonly retryAfter: number;
};

/**
The failure of a request whose time is over: one that never left, since no connection opened, has not run, and its caller may send it again.

@param options What is known.
@returns The failure.
@example
```ts
expiryFailure({mayHaveRun: false, waited: 800, lastProblem: 'none', retryAfter: 250}).kind; // 'no-server'
```
*/
export function expiryFailure({mayHaveRun, waited, lastProblem, retryAfter}: ExpiryFailureOptions): Failure {
	return mayHaveRun
		? failure('deadline-exceeded-after-dispatch', `Got no answer within ${waited} ms (${lastProblem})`)
		: failure('no-server', `Got no connection to a server within ${waited} ms (${lastProblem})`, {retryAfterMilliseconds: retryAfter});
}
