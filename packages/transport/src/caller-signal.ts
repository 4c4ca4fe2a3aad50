import {type ServerResponse} from 'node:http';
import {whenResponseCloses} from './when-response-closes.js';

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
	whenResponseCloses(response, () => {
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
}
