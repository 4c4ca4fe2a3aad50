import {type RandomSource} from '@valehitch/core';

/** A fault or a planned change that is done from outside. */
export type FaultKind
	= | 'kill' | 'pause' | 'stop' | 'kill-all-controls' | 'wipe'
		| 'silence' | 'silence-one-way' | 'delay' | 'reset'
		| 'disk-full' | 'disk-slow' | 'clock-step' | 'settings' | 'settings-missing'
		| 'server-shutdown' | 'server-crash' | 'server-silence'
		| 'configuration' | 'revoke';

/** One fault of a soak. */
export type Fault = {
	readonly kind: FaultKind;
	/** Milliseconds from the start of the traffic. */
	readonly at: number;
	/** How long it lasts, in milliseconds. */
	readonly duration: number;
	/** Picks what it strikes, from 0 up to 1. */
	readonly pick: number;
};

/** What a plan is drawn from. */
export type PlanFaultsOptions = {
	readonly random: RandomSource;
	/** Milliseconds of traffic with faults. */
	readonly length: number;
	/** Milliseconds between two faults, on average. */
	readonly gap: number;
};

/** How often each kind comes, relative to the others: planned changes most, as in the deployments. */
const weights: Readonly<Record<FaultKind, number>> = {
	kill: 4,
	pause: 3,
	stop: 4,
	'kill-all-controls': 1,
	wipe: 1,
	silence: 3,
	'silence-one-way': 3,
	delay: 2,
	reset: 3,
	'disk-full': 1,
	'disk-slow': 2,
	'clock-step': 2,
	settings: 2,
	'settings-missing': 1,
	'server-shutdown': 4,
	'server-crash': 2,
	'server-silence': 2,
	configuration: 6,
	revoke: 3,
};
const kinds = Object.entries(weights) as ReadonlyArray<readonly [kind: FaultKind, weight: number]>;
/** Cuts last longer than the lease on keys, or they would prove nothing about it. */
const cuts: ReadonlySet<FaultKind> = new Set(['silence', 'silence-one-way']);
const cutFactor = 2.5;
const shortestMilliseconds = 300;
const longestMilliseconds = 3500;
/** A wiped instance must hold everything again before the next disk may be lost. */
const wipeGapMilliseconds = 12_000;

/**
Draws the faults of one soak; they overlap, and come in series.

@param options The random source and the length.
@returns The faults in the order of their times.
@example
```ts
planFaults({random: seededRandom(7), length: 15_000, gap: 700});
```
*/
export function planFaults({random, length, gap}: PlanFaultsOptions): readonly Fault[] {
	const faults: Fault[] = [];
	let at = 0;
	let wipedAt = Number.NEGATIVE_INFINITY;
	while (true) {
		// Twice a number from 0 to 1 keeps the mean, and lets some come close together.
		at += 2 * random() * gap;
		if (at >= length) {
			return faults;
		}

		const drawn = drawKind(random);
		const isTooSoon = drawn === 'wipe' && at - wipedAt < wipeGapMilliseconds;
		const kind = isTooSoon ? 'kill' : drawn;
		wipedAt = kind === 'wipe' ? at : wipedAt;
		const duration = shortestMilliseconds + (random() * (longestMilliseconds - shortestMilliseconds));
		faults.push({
			kind, at, duration: cuts.has(kind) ? cutFactor * duration : duration, pick: random(),
		});
	}
}

function drawKind(random: RandomSource): FaultKind {
	let total = 0;
	for (const [, weight] of kinds) {
		total += weight;
	}

	let left = random() * total;
	for (const [kind, weight] of kinds) {
		left -= weight;
		if (left < 0) {
			return kind;
		}
	}

	return 'kill';
}
