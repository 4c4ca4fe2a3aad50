import {failure} from '@valehitch/core';
import {type OutcomeStep} from './outcome-step.js';

/**
Returns the step after a send whose request may have run.

@param message What happened.
@returns The step.
@example
```ts
return unknownOutcome('The stream of i-1 is stalled');
```
*/
export function unknownOutcome(message: string): OutcomeStep {
	return {type: 'failed', failed: failure('outcome-unknown', message)};
}
