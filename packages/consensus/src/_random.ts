const multiplier = 48_271;
const modulus = 2_147_483_647;

/** The state of the random source for a seed; any integer will do. */
export function seedRandom(seed: number): number {
	const start = (Math.abs(Math.trunc(seed)) % (modulus - 1)) + 1;
	// Two rounds, so that neighbouring seeds do not begin with neighbouring numbers.
	return nextRandom(nextRandom(start).state).state;
}

/** A random number from 0 (included) to 1 (excluded), and the state of the source after it (Park and Miller, 1988, with the multiplier of 1993). */
export function nextRandom(state: number): {readonly value: number; readonly state: number} {
	const next = (state * multiplier) % modulus;
	return {value: (next - 1) / (modulus - 1), state: next};
}
