const multiplier = 48_271;
const modulus = 2_147_483_647;

/** Returns the initial generator state for a seed, which may be any integer. */
export function seedRandom(seed: number): number {
	const start = (Math.abs(Math.trunc(seed)) % (modulus - 1)) + 1;
	// Skips two values because the first values of adjacent seeds are close to each other.
	return nextRandom(nextRandom(start).state).state;
}

/** Returns a pseudorandom number from 0 (inclusive) to 1 (exclusive) and the next generator state (Park and Miller, 1988, with the multiplier of 1993). */
export function nextRandom(state: number): {readonly value: number; readonly state: number} {
	const next = (state * multiplier) % modulus;
	return {value: (next - 1) / (modulus - 1), state: next};
}
