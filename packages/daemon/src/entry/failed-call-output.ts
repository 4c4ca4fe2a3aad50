import {type HttpRequestFailure} from '@valehitch/transport';
import {type AttemptOutput} from './attempt-output.js';

/**
Converts a failed HTTP call, for which no response was received, into the output of its attempt.

@param failed Why no response was received.
@param backendKind The kind of backend server that was called.
@returns The only output of the attempt.
@example
```ts
failedCallOutput({neverSent: true, onKeptConnection: false, message: 'connect ECONNREFUSED'}, 'engine').type; // 'never-sent'
```
*/
export function failedCallOutput({neverSent, onKeptConnection, message}: HttpRequestFailure, backendKind: 'engine' | 'service'): AttemptOutput {
	const type = onKeptConnection ? 'kept-connection-lost' : 'broken';
	return {type: neverSent ? 'never-sent' : type, message: `No response from the ${backendKind}: ${message}`};
}
