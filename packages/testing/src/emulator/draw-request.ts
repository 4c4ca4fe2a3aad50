import {type RandomSource} from '@valehitch/core';
import {sampleExponential} from '../_bench-tools.js';
import {type LoadScenario, type RequestKind} from './load-scenario.js';

/** A request as sent by its caller. */
export type CallerRequest = {
	readonly kind: RequestKind;
	/** The index of the entry instance that receives the request. */
	readonly entry: number;
	readonly promptKey: string;
	readonly uniqueTokens: number;
	/** From 0 to 1; a model gives a correct response if its capability is at least this. */
	readonly difficulty: number;
	/** An error added to the confidence of every model in its response, fixed for each request so that a model reports the same confidence every time. */
	readonly confidenceError: number;
};

/** The maximum error of a model's confidence, on a scale from 0 to 1. */
const maximumConfidenceError = 0.15;

/**
Draws a random request.

@param scenario The kinds of requests and the number of entry instances.
@param random The random source.
@returns The request.
*/
export function drawRequest({kinds, entries}: Pick<LoadScenario, 'kinds' | 'entries'>, random: RandomSource): CallerRequest {
	const kind = drawKind(kinds, random);
	return {
		kind,
		entry: Math.floor(random() * entries),
		promptKey: `${kind.name} ${Math.floor(random() * kind.distinctPrefixes)}`,
		uniqueTokens: Math.ceil(sampleExponential(kind.meanUniqueTokens, random)),
		difficulty: random(),
		confidenceError: (random() - 0.5) * 2 * maximumConfidenceError,
	};
}

function drawKind(kinds: readonly RequestKind[], random: RandomSource): RequestKind {
	let remaining = random() * kinds.reduce((sum, {weight}) => sum + weight, 0);
	for (const kind of kinds) {
		remaining -= kind.weight;
		if (remaining < 0) {
			return kind;
		}
	}

	return kinds.at(-1)!;
}
