import {type RandomSource} from '@valehitch/core';

const multiplier = 48_271;
const modulus = 2_147_483_647;

/**
Creates a pseudorandom source from a seed: the Lehmer generator of Park and Miller (1988) with multiplier 48271, which is simple and good enough to generate requests.

@param seed An integer from 1 to 2,147,483,646.
@returns The random source; the same seed produces the same numbers.
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
