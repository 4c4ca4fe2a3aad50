import {setFlagsFromString} from 'node:v8';
import process from 'node:process';
import {runInNewContext} from 'node:vm';
import {type RandomSource} from '@valehitch/core';

/**
Returns a quantile of the values.

@param values The values.
@param quantile The quantile, from 0 to 1.
@returns The quantile, or 0 if there are no values.
@example
```ts
quantileOf([1, 2, 3], 0.5); // 2
```
*/
export function quantileOf(values: readonly number[], quantile: number): number {
	const sorted = values.toSorted((one, other) => one - other);
	return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0;
}

/**
Draws a sample from the exponential distribution.

@param mean The mean.
@param random The random source.
@returns The sample.
@example
```ts
exponential(600, random);
```
*/
export function sampleExponential(mean: number, random: RandomSource): number {
	return -mean * Math.log(1 - random());
}

/**
Measures the heap memory that a value retains.

@param make Creates the value.
@returns The retained bytes.
@example
```ts
measureHeapBytes(() => Array.from({length: 1000}, () => ({})));
```
*/
export function measureHeapBytes(make: () => unknown): number {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	collect();
	const before = process.memoryUsage().heapUsed;
	const retained = [make()];
	collect();
	const after = process.memoryUsage().heapUsed;
	return retained.length > 0 ? after - before : 0;
}
