import {type Failure, failure} from '@valehitch/core';

/** Options of {@linkcode expiryFailure}. */
export type ExpiryFailureOptions = {
	/** Whether a send of the request may have reached a server. */
	readonly mayHaveRun: boolean;
	/** The time since the request arrived, in milliseconds. */
	readonly waited: number;
	/** The problem of the last send. */
	readonly lastProblem: string;
	/** The retry delay suggested to the caller, in milliseconds. */
	readonly retryAfter: number;
};

/**
Returns the failure of a request whose deadline has passed. If no connection was ever established, the request has not run and the caller may retry it.

@param options The state of the request.
@returns The failure.
@example
```ts
expiryFailure({mayHaveRun: false, waited: 800, lastProblem: 'none', retryAfter: 250}).kind; // 'no-server'
```
*/
export function expiryFailure({mayHaveRun, waited, lastProblem, retryAfter}: ExpiryFailureOptions): Failure {
	return mayHaveRun
		? failure('deadline-exceeded-after-dispatch', `No server answered within ${waited} ms (${lastProblem})`)
		: failure('no-server', `No connection to a server could be established within ${waited} ms (${lastProblem})`, {retryAfterMilliseconds: retryAfter});
}
