import {type ServerResponse} from 'node:http';
import {whenCallerLeaves} from './when-caller-leaves.js';

/**
Returns a signal that is aborted if the caller closes its connection before it has been answered.

@param response The response to the caller.
@returns The signal.
@example
```ts
const caller = callerSignal(response);
```
*/
export function callerSignal(response: ServerResponse): AbortSignal {
	const controller = new AbortController();
	whenCallerLeaves(response, () => {
		controller.abort();
	});
	return controller.signal;
}
