import {setFlagsFromString} from 'node:v8';
import process from 'node:process';
import {runInNewContext} from 'node:vm';
import {type RandomSource} from '@valehitch/core';

/**
Tells the value that a share of the values does not exceed.

@param values The values.
@param share The share, from 0 to 1.
@returns The value, or 0 for none.
@example
```ts
quantileOf([1, 2, 3], 0.5); // 2
```
*/
export function quantileOf(values: readonly number[], share: number): number {
	const sorted = values.toSorted((one, other) => one - other);
	return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

/**
Draws from the exponential distribution.

@param mean The mean.
@param random The random source.
@returns The number drawn.
@example
```ts
exponential(600, random);
```
*/
export function exponential(mean: number, random: RandomSource): number {
	return -mean * Math.log(1 - random());
}

/**
Measures the heap that a value holds.

@param make Makes the value.
@returns Bytes.
@example
```ts
heapOf(() => Array.from({length: 1000}, () => ({})));
```
*/
export function heapOf(make: () => unknown): number {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	collect();
	const before = process.memoryUsage().heapUsed;
	const held = [make()];
	collect();
	const after = process.memoryUsage().heapUsed;
	return held.length > 0 ? after - before : 0;
}
