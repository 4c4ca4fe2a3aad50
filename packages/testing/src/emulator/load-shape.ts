import {type RandomSource} from '@valehitch/core';
import {type EmulatedModel, type EngineSheet} from './emulated-engine.js';

/** Requests of one kind. */
export type RequestKind = {
	readonly name: string;
	/** Its part of all requests. */
	readonly weight: number;
	/** Tokens of the parts that others about the same subject share. */
	readonly sharedTokens: number;
	/** The mean of the tokens of its own; drawn from an exponential distribution. */
	readonly ownTokens: number;
	readonly outputTokens: number;
	/** The subjects that requests are about, each as often as the others. */
	readonly subjects: number;
	/** Milliseconds to the first token that are on time. */
	readonly targetLatency: number;
};

/** An engine that stops, or is slower, for a while. */
export type EngineFault = {
	/** The number of the engine. */
	readonly engine: number;
	/** Milliseconds from the start. */
	readonly at: number;
	readonly milliseconds: number;
	/** How many times longer its steps take; infinity where it stops. */
	readonly slower: number;
};

/** A deployment under load. */
export type LoadShape = {
	readonly zones: number;
	readonly entries: number;
	readonly engines: number;
	readonly sheet: EngineSheet;
	/** Smallest first. */
	readonly models: readonly EmulatedModel[];
	readonly kinds: readonly RequestKind[];
	readonly requestsPerSecond: number;
	readonly milliseconds: number;
	/** One way between two zones, in milliseconds. */
	readonly crossing: number;
	readonly faults: readonly EngineFault[];
};

/** The figures of a customer's sheet, as far as a load is drawn from them. */
export type CustomerSheet = Pick<LoadShape, 'zones' | 'entries' | 'engines' | 'sheet' | 'models' | 'kinds'> & {
	/** Requests a second on a calm day. */
	readonly calmRequestsPerSecond: number;
};

const crossingMilliseconds = 1.4;
/** A heavy day has up to this many times the requests of a calm one. */
const heaviest = 1.8;
const longestFaultMilliseconds = 6000;
const mostFaults = 4;
const slowestFactor = 4;

/**
Draws a load of a customer: how heavy it is, how its kinds are mixed, and which engines stop or turn slow.

@param sheet The customer's figures.
@param options The random source, and how long the load lasts in milliseconds.
@returns The load; the same for the same random numbers.
@example
```ts
const shape = drawLoad(sheet, {random: seededRandom(7), milliseconds: 20_000});
```
*/
export function drawLoad(sheet: CustomerSheet, {random, milliseconds}: {readonly random: RandomSource; readonly milliseconds: number}): LoadShape {
	const {calmRequestsPerSecond, kinds, ...rest} = sheet;
	const faults = Array.from({length: Math.floor(random() * (mostFaults + 1))}, (): EngineFault => ({
		engine: Math.floor(random() * sheet.engines),
		at: random() * milliseconds,
		milliseconds: random() * longestFaultMilliseconds,
		slower: random() < 0.5 ? Number.POSITIVE_INFINITY : 1 + (random() * (slowestFactor - 1)),
	}));
	return {
		...rest,
		milliseconds,
		crossing: crossingMilliseconds,
		kinds: kinds.map(kind => ({...kind, weight: kind.weight * (0.5 + random())})),
		requestsPerSecond: calmRequestsPerSecond * (1 + (random() * (heaviest - 1))),
		faults,
	};
}
