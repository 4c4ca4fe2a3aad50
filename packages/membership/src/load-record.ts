/** The load of a backend server, in steps, as the digests carry it; the start in seconds since 1970, to be short. */
export type LoadRecord = readonly [startedAt: number, sequence: number, step: number];

/** The number of steps from idle to full. */
export const loadSteps = 8;

/**
Puts a load into a step, so that small changes are no news.

@param work The requests in progress and the capacity, above 0.
@returns A step from 0 (idle) to 8 (full or more); only an idle server has step 0.
@example
```ts
toLoadStep({active: 3, capacity: 8}); // 3
```
*/
export function toLoadStep({active, capacity}: {readonly active: number; readonly capacity: number}): number {
	return Math.min(loadSteps, Math.ceil((active / capacity) * loadSteps));
}

/**
Joins two loads of one server: the later word wins.

@param known The one that is held.
@param next The other one.
@returns The later one; `known` where they say the same.
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
