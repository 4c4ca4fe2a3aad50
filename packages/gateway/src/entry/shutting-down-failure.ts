import {type Failure, failure} from '@valehitch/core';

/** The retry delay during a stop, in milliseconds: other instances take the request at once. */
const shutdownRetryMilliseconds = 10;

/**
Returns the failure of a request that an instance that stops does not send.

@param reason Why not, as operators read it.
@returns The failure.
@example
```ts
shuttingDownFailure('its time limit ends after this instance');
```
*/
export function shuttingDownFailure(reason: string): Failure {
	return failure('shutting-down', `This instance is shutting down (${reason}); send the request to another instance`, {retryAfterMilliseconds: shutdownRetryMilliseconds});
}
