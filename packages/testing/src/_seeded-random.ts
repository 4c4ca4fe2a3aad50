import {type RandomSource} from '@valehitch/core';

const multiplier = 48_271;
const modulus = 2_147_483_647;

/**
Makes a random source from a seed (Park and Miller, 1988): small, and good enough to mix requests.

@param seed A whole number from 1 up to 2,147,483,646.
@returns The random source; the same seed gives the same numbers.
@example
```ts
const random = seededRandom(20_240);
```
*/
export function seededRandom(seed: number): RandomSource {
	let state = seed;
	return () => {
		state = (state * multiplier) % modulus;
		return state / modulus;
	};
}
