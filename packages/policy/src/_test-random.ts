import {type RandomSource} from '@valehitch/core';

const multiplier = 48_271;
const modulus = 2_147_483_647;
const warmUpDraws = 5;

/**
Creates a seeded random source for tests and benchmarks (Park and Miller, 1988).

@param seed An integer.
@returns The random source. The same seed always gives the same numbers.
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
