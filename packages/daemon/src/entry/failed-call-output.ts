import {type HttpRequestFailure} from '@valehitch/transport';
import {type AttemptOutput} from './attempt-output.js';

/**
Converts a failed HTTP call, for which no response was received, into the output of its attempt.

@param failed Why no response was received.
@param backendKind The kind of backend server that was called.
@returns The only output of the attempt.
@example
```ts
failedCallOutput({neverSent: true, isWithheld: false, onKeptConnection: false, isRelayUnavailable: false, message: 'connect ECONNREFUSED'}, 'engine').type; // 'never-sent'
```
*/
export function failedCallOutput({neverSent, isWithheld, onKeptConnection, message}: HttpRequestFailure, backendKind: 'engine' | 'service'): AttemptOutput {
	if (isWithheld) {
		return {type: 'withheld', message: `Not sent to the ${backendKind}: ${message}`};
	}

	const type = onKeptConnection ? 'kept-connection-lost' : 'broken';
	return {type: neverSent ? 'never-sent' : type, message: `No response from the ${backendKind}: ${message}`};
}
