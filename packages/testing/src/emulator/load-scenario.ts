import {type RandomSource} from '@valehitch/core';
import {type EmulatedModel, type EngineParameters} from './emulated-engine.js';

/** A kind of request. */
export type RequestKind = {
	readonly name: string;
	/** The relative frequency among all kinds. */
	readonly weight: number;
	/** The number of prompt tokens that all requests with the same prefix share. */
	readonly sharedTokens: number;
	/** The mean of the number of unique prompt tokens, which is exponentially distributed. */
	readonly meanUniqueTokens: number;
	readonly outputTokens: number;
	/** The number of different prefixes, which are equally frequent. */
	readonly distinctPrefixes: number;
	/** The target time to the first token, in milliseconds; a response that exceeds it is late. */
	readonly targetLatency: number;
};

/** A temporary fault of an engine. */
export type EngineFault = {
	/** The index of the engine. */
	readonly engine: number;
	/** The start of the fault, in milliseconds from the start of the load. */
	readonly at: number;
	readonly durationMilliseconds: number;
	/** The factor by which the steps of the engine take longer; infinity stops the engine. */
	readonly slowdownFactor: number;
};

/** A deployment and the load on it. */
export type LoadScenario = {
	readonly zones: number;
	readonly entries: number;
	readonly engines: number;
	readonly engineParameters: EngineParameters;
	/** The models, from the smallest to the largest. */
	readonly models: readonly EmulatedModel[];
	readonly kinds: readonly RequestKind[];
	readonly requestsPerSecond: number;
	readonly durationMilliseconds: number;
	/** The one-way network latency between two zones, in milliseconds. */
	readonly interZoneLatency: number;
	readonly faults: readonly EngineFault[];
};

/** The parameters of a customer's deployment from which load scenarios are drawn. */
export type CustomerProfile = Pick<LoadScenario, 'zones' | 'entries' | 'engines' | 'engineParameters' | 'models' | 'kinds'> & {
	/** The request rate on a day of low load. */
	readonly lowRequestsPerSecond: number;
};

const interZoneLatencyMilliseconds = 1.4;
/** The maximum request rate, as a multiple of the rate on a day of low load. */
const maximumLoadFactor = 1.8;
const maximumFaultMilliseconds = 6000;
const maximumFaults = 4;
const maximumSlowdownFactor = 4;

/**
Draws a random load scenario for a customer: the request rate, the mix of request kinds, and the engine faults.

@param profile The customer's parameters.
@param options The random source, and the duration in milliseconds.
@returns The scenario; the same random numbers give the same scenario.
@example
```ts
const scenario = drawScenario(profile, {random: seededRandom(7), milliseconds: 20_000});
```
*/
export function drawScenario(profile: CustomerProfile, {random, milliseconds}: {readonly random: RandomSource; readonly milliseconds: number}): LoadScenario {
	const {lowRequestsPerSecond, kinds, ...rest} = profile;
	const faults = Array.from({length: Math.floor(random() * (maximumFaults + 1))}, (): EngineFault => ({
		engine: Math.floor(random() * profile.engines),
		at: random() * milliseconds,
		durationMilliseconds: random() * maximumFaultMilliseconds,
		slowdownFactor: random() < 0.5 ? Number.POSITIVE_INFINITY : 1 + (random() * (maximumSlowdownFactor - 1)),
	}));
	return {
		...rest,
		durationMilliseconds: milliseconds,
		interZoneLatency: interZoneLatencyMilliseconds,
		kinds: kinds.map(kind => ({...kind, weight: kind.weight * (0.5 + random())})),
		requestsPerSecond: lowRequestsPerSecond * (1 + (random() * (maximumLoadFactor - 1))),
		faults,
	};
}
