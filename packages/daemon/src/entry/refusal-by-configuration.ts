import {type ErrorKind, type Failure, failure} from '@valehitch/core';
import {type ActiveConfiguration} from '../distribution/active-configuration.js';

/** The refusals that follow from what a configuration lacks, and that another one may not give. */
const kindsByConfiguration: ReadonlySet<ErrorKind> = new Set(['unauthenticated', 'forbidden', 'not-found', 'unknown-model']);
/** The retry delay sent to the caller, in milliseconds: the time in which an instance usually gets its lease back. */
const retryMilliseconds = 1000;

/**
Returns the failure with which a call is refused. Where the configuration may be outdated, a refusal for good becomes one for now, since a newer configuration may allow the call.

@param failed The failure that follows from the configuration.
@param active The configuration.
@returns The failure.
@example
```ts
refuse(call, refusalByConfiguration(failure('unauthenticated', 'Unknown API key'), active), context);
```
*/
export function refusalByConfiguration(failed: Failure, {isolated}: Pick<ActiveConfiguration, 'isolated'>): Failure {
	return isolated && kindsByConfiguration.has(failed.kind)
		? failure('no-configuration', `The instance has no valid configuration lease, and its last configuration does not allow the call (${failed.message})`, {retryAfterMilliseconds: retryMilliseconds})
		: failed;
}
