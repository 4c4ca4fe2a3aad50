import {type RandomSource} from '@valehitch/core';
import {sampleNormal} from './_speed-trial-pool.js';

/** A prompt of a simulated caller. */
export type UnevenPrompt = {
	readonly kind: string;
	/** Its length, in tokens. */
	readonly tokens: number;
	/** The shared part that it begins with; undefined if it has none. */
	readonly part: string | undefined;
	/** The length of that part, in tokens. */
	readonly sharedTokens: number;
	/** The processing time of the rest at a server of mean speed, in milliseconds. */
	readonly work: number;
	/** Returns the processing time of tokens at a server of mean speed, in milliseconds. */
	readonly workOf: (tokens: number) => number;
};

type PromptKind = {
	readonly name: string;
	readonly share: number;
	/** The mean length without the shared part, in tokens. */
	readonly unique: number;
	/** The length of a shared part, in tokens. */
	readonly shared: number;
	/** The number of shared parts; the first ones are the most frequent. */
	readonly parts: number;
};

const kinds: readonly PromptKind[] = [
	{
		name: 'queries', share: 0.5, unique: 900, shared: 0, parts: 0,
	},
	{
		name: 'drafts', share: 0.3, unique: 900, shared: 2000, parts: 40,
	},
	{
		name: 'summaries', share: 0.2, unique: 6000, shared: 0, parts: 0,
	},
];
const tokensPerMillisecond = 24;
const minimumTokens = 800;
const maximumTokens = 12_000;
const spread = 0.5;

/** The mean processing time of what prompts do not share, in milliseconds. */
export const meanUniqueWork = meanOf(20_000);

/**
Draws a prompt.

@param random The random source.
@returns The prompt.
*/
export function samplePrompt(random: RandomSource): UnevenPrompt {
	let draw = random();
	const kind = kinds.find(({share}) => {
		draw -= share;
		return draw < 0;
	}) ?? kinds[0]!;
	const {name, unique, shared, parts} = kind;
	const drawn = unique * Math.exp((spread * sampleNormal(random)) - (spread * spread / 2));
	const tokens = shared + Math.min(maximumTokens, Math.max(minimumTokens, drawn));
	// The numbers of parts are distributed as 1, 1/2, 1/3 and so on.
	const part = parts === 0 ? undefined : `${name}-${Math.floor(parts ** random())}`;
	return {
		kind: name, tokens, part, sharedTokens: shared, work: workOf(tokens - shared), workOf,
	};
}

function workOf(tokens: number): number {
	return tokens / tokensPerMillisecond;
}

function meanOf(count: number): number {
	let state = 1;
	const random: RandomSource = () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};

	let sum = 0;
	for (let drawn = 0; drawn < count; drawn++) {
		sum += samplePrompt(random).work;
	}

	return sum / count;
}
