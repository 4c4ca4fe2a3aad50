import {type InstanceId, type ServerId} from '@valehitch/core';
import {hashModulus} from './_hash-modulus.js';

const multiplier = 31;
// Cubing permutes the hashes, since 3 does not divide their prime modulus minus 1.
const roundConstants = [12_345_701, 48_271_003, 29_986_577, 61_113_311] as const;

/**
Hashes the start of a prompt, by which engines cache its processing.

@param prompt The prompt.
@param length The number of UTF-16 code units that are hashed; 256 by default.
@returns An integer from 0 to 2^26.
@example
```ts
prefixHash('You answer for the coil traceability desk. ...');
```
*/
export function prefixHash(prompt: string, length = 256): number {
	return hashText(prompt.slice(0, length));
}

/**
Scores a server for a prefix by rendezvous hashing (Thaler and Ravishankar, 1998), weighted by the capacity of the server.

The servers with the highest scores are the preferred ones of the prefix. When a server leaves, only the prefixes that preferred it move.

@param prefix The hash of the prefix.
@param options The server and its capacity in requests.
@returns The score, above 0.
@example
```ts
rendezvousScore(prefixHash(prompt), {server, capacity: 8});
```
*/
export function rendezvousScore(prefix: number, {server, capacity}: RendezvousScoreOptions): number {
	const uniform = (mixHashes(prefix, hashText(server)) + 1) / (hashModulus + 1);
	return -capacity / Math.log(uniform);
}

/** The server or instance to score. */
export type RendezvousScoreOptions = {
	readonly server: ServerId | InstanceId;
	readonly capacity: number;
};

/** Evaluates a polynomial over the UTF-16 code units modulo the prime. */
function hashText(text: string): number {
	let hash = text.length;
	for (let index = 0; index < text.length; index++) {
		hash = ((hash * multiplier) + (text.codePointAt(index) ?? 0)) % hashModulus;
	}

	return hash;
}

/** Combines two hashes with rounds of cubed sums, as in the MiMC cipher (Albrecht and others, 2016). */
function mixHashes(value: number, key: number): number {
	let mixed = value;
	for (const constant of roundConstants) {
		const sum = (mixed + key + constant) % hashModulus;
		mixed = sum * (sum * sum % hashModulus) % hashModulus;
	}

	return mixed;
}
