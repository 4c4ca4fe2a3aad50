const multiplier = 48_271;
const modulus = 2_147_483_647;

/**
Creates a deterministic generator of numbers from 0 to 1 (Park and Miller, 1988).

@param seed The first state; 1 by default.
@returns The generator.
*/
export function seededRandom(seed = 1): () => number {
	let state = seed;
	return () => {
		state = state * multiplier % modulus;
		return state / modulus;
	};
}
