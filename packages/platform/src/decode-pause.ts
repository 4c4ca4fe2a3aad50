import {type RequestedPause} from '@valehitch/gateway';
import {parseDecimal} from './_parse-decimal.js';

const millisecondsPerSecond = 1000;

/**
Decodes the time for which a backend server that rejects a request wants no more of them.

@param value The value of the header in seconds, which may include fractions; undefined if the answer has none.
@returns The pause.
@example
```ts
decodePause('1.5'); // {type: 'requested', milliseconds: 1500}
```
*/
export function decodePause(value: string | undefined): RequestedPause {
	if (value === undefined) {
		return {type: 'none'};
	}

	const seconds = parseDecimal(value);
	return seconds === undefined ? {type: 'invalid', value} : {type: 'requested', milliseconds: seconds * millisecondsPerSecond};
}
