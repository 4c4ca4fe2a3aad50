/** The load step of a backend server, as replicated in the digests. The start is in Unix seconds to keep the record short. */
export type LoadRecord = readonly [startedAt: number, sequence: number, step: number];

/** The number of load steps from idle to full. */
export const loadSteps = 8;

/**
Quantizes a load into steps, so that small changes are not propagated.

@param work The number of requests in progress and the capacity, which must be positive.
@returns A step from 0 (idle) to 8 (full or overloaded). Only an idle server has step 0.
@example
```ts
toLoadStep({active: 3, capacity: 8}); // 3
```
*/
export function toLoadStep({active, capacity}: {readonly active: number; readonly capacity: number}): number {
	return Math.min(loadSteps, Math.ceil((active / capacity) * loadSteps));
}

/**
Joins two load records of one server. The later one wins.

@param known The stored record.
@param next The other record.
@returns The later record, or `known` if they are equal.
@example
```ts
joinLoads([1, 1, 3], [1, 2, 4]); // [1, 2, 4]
```
*/
export function joinLoads(known: LoadRecord, next: LoadRecord): LoadRecord {
	for (const [index, value] of next.entries()) {
		const order = value - (known[index] ?? 0);
		if (order !== 0) {
			return order > 0 ? next : known;
		}
	}

	return known;
}
