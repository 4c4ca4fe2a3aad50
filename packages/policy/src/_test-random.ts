import {type RandomSource} from '@valehitch/core';

const multiplier = 48_271;
const modulus = 2_147_483_647;
const warmUpDraws = 5;

/**
Makes a random source from a seed (Park and Miller, 1988), for tests and benches.

@param seed A whole number.
@returns The random source; the same seed gives the same numbers.
@example
```ts
const random = seededRandom(20_261_202);
```
*/
export function seededRandom(seed: number): RandomSource {
	let state = ((Math.abs(seed) * 7919) % (modulus - 1)) + 1;
	const next = (): number => {
		state = (state * multiplier) % modulus;
		return state / modulus;
	};

	for (let draw = 0; draw < warmUpDraws; draw += 1) {
		next();
	}

	return next;
}
