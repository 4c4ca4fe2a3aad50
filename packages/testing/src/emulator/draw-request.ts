import {type RandomSource} from '@valehitch/core';
import {exponential} from '../_bench-tools.js';
import {type LoadShape, type RequestKind} from './load-shape.js';

/** A request as its caller sends it. */
export type CallerRequest = {
	readonly kind: RequestKind;
	/** The number of the entry instance that takes it. */
	readonly entry: number;
	readonly subject: string;
	readonly ownTokens: number;
	/** From 0 to 1; a model whose ability is below it gives no right answer. */
	readonly hardness: number;
	/** What models add to their opinions of their answers to it, the same for each: a model asked twice says the same. */
	readonly doubt: number;
};

/** How far a model's opinion of itself scatters, from 0 to 1. */
const opinionScatter = 0.15;

/**
Draws a request of a load.

@param shape The load.
@param random The random source.
@returns The request.
*/
export function drawRequest({kinds, entries}: Pick<LoadShape, 'kinds' | 'entries'>, random: RandomSource): CallerRequest {
	const kind = drawKind(kinds, random);
	return {
		kind,
		entry: Math.floor(random() * entries),
		subject: `${kind.name} ${Math.floor(random() * kind.subjects)}`,
		ownTokens: Math.ceil(exponential(kind.ownTokens, random)),
		hardness: random(),
		doubt: (random() - 0.5) * 2 * opinionScatter,
	};
}

function drawKind(kinds: readonly RequestKind[], random: RandomSource): RequestKind {
	let left = random() * kinds.reduce((sum, {weight}) => sum + weight, 0);
	for (const kind of kinds) {
		left -= kind.weight;
		if (left < 0) {
			return kind;
		}
	}

	return kinds.at(-1)!;
}
