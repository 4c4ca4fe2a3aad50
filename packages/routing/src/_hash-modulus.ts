/** The number of different hashes: a prime below 2^26, so that products of two numbers below it are exact in a double. */
export const hashModulus = 67_108_859;
