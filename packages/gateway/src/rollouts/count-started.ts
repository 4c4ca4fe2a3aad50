import {type VersionEvidence} from './version-evidence.js';

/**
Returns the number of answers that have started, and the sum of their times to the first byte.

@param evidence The counter.
@returns The number, and the sum in milliseconds.
@example
```ts
countStarted(counter);
```
*/
export function countStarted({answers, failures, latencySum, started = answers - failures, startSum = latencySum}: VersionEvidence): {readonly started: number; readonly startSum: number} {
	return {started, startSum};
}
