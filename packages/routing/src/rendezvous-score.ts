import {type ServerId} from '@valehitch/core';

// A prime below 2^26, so that a product fits a double; cubing permutes the numbers below it, since 3 does not divide it less 1.
const modulus = 67_108_859;
const multiplier = 31;
const roundConstants = [12_345_701, 48_271_003, 29_986_577, 61_113_311] as const;

/**
Hashes the beginning of a prompt, the part by which engines cache it.

@param prompt The prompt.
@param length How many UTF-16 units count; 256 by default.
@returns A whole number from 0 to 2^26.
@example
```ts
prefixHash('You answer for the coil traceability desk. ...');
```
*/
export function prefixHash(prompt: string, length = 256): number {
	return hashText(prompt.slice(0, length));
}

/**
Scores a server for a prefix by rendezvous hashing (Thaler and Ravishankar, 1998), weighted by its capacity.

The server with the highest score is the home of the prefix; when it goes, only its prefixes move.

@param prefix The hash of the prefix.
@param options The server and its capacity in requests.
@returns The score, above 0.
@example
```ts
rendezvousScore(prefixHash(prompt), {server, capacity: 8});
```
*/
export function rendezvousScore(prefix: number, {server, capacity}: RendezvousScoreOptions): number {
	const uniform = (mix(prefix, hashText(server)) + 1) / (modulus + 1);
	return -capacity / Math.log(uniform);
}

/** What a score depends on besides the prefix. */
export type RendezvousScoreOptions = {
	readonly server: ServerId;
	readonly capacity: number;
};

/** A polynomial of the UTF-16 units, modulo the prime. */
function hashText(text: string): number {
	let hash = text.length;
	for (let index = 0; index < text.length; index++) {
		hash = ((hash * multiplier) + (text.codePointAt(index) ?? 0)) % modulus;
	}

	return hash;
}

/** Mixes two hashes by cubing sums in rounds, as the MiMC cipher does (Albrecht and others, 2016). */
function mix(value: number, key: number): number {
	let mixed = value;
	for (const constant of roundConstants) {
		const sum = (mixed + key + constant) % modulus;
		mixed = sum * (sum * sum % modulus) % modulus;
	}

	return mixed;
}
