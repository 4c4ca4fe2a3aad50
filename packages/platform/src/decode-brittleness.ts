import {type ServerBrittleness} from '@valehitch/gateway';
import {parseDecimal} from './_parse-decimal.js';

/**
Decodes how many requests a backend server can reject in a second without falling over.

@param value The value of the header; undefined if the answer has none.
@returns What the server says.
@example
```ts
decodeBrittleness('5'); // {type: 'brittle', rejectionsPerSecond: 5}
```
*/
export function decodeBrittleness(value: string | undefined): ServerBrittleness {
	if (value === undefined) {
		return {type: 'none'};
	}

	const rejectionsPerSecond = parseDecimal(value);
	return rejectionsPerSecond === undefined ? {type: 'invalid', value} : {type: 'brittle', rejectionsPerSecond};
}
