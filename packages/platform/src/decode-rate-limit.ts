import {type NamedRateLimit} from '@valehitch/gateway';
import {parseDecimal} from './_parse-decimal.js';

/**
Decodes the rate limit that a backend server names in an answer.

@param value The value of the header; undefined if the answer has none.
@returns The limit.
@example
```ts
decodeRateLimit('1.7'); // {type: 'limited', requestsPerSecond: 1.7}
```
*/
export function decodeRateLimit(value: string | undefined): NamedRateLimit {
	if (value === undefined) {
		return {type: 'unlimited'};
	}

	const requestsPerSecond = parseDecimal(value);
	return requestsPerSecond === undefined ? {type: 'invalid', value} : {type: 'limited', requestsPerSecond};
}
