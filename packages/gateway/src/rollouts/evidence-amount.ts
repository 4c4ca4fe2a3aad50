import {type VersionEvidence} from './version-evidence.js';

/**
Returns how much a counter has counted, which increases with each of its observations.

@param evidence The counter.
@returns The amount; of two states of one counter the later one has the larger amount.
@example
```ts
evidenceAmount(counter);
```
*/
export function evidenceAmount({answers, started = 0, waits}: VersionEvidence): number {
	return answers + started + (waits?.exposed.reduce((total, count) => total + count, 0) ?? 0);
}
