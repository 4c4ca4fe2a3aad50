import {type RandomSource} from '@valehitch/core';

/** A fault, or a planned change, made from outside the processes. */
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
	/** The duration in milliseconds. */
	readonly duration: number;
	/** Selects the target: a number in the range [0, 1). */
	readonly pick: number;
};

/** Options for a plan of faults. */
export type PlanFaultsOptions = {
	readonly random: RandomSource;
	/** The duration of the traffic with faults, in milliseconds. */
	readonly length: number;
	/** The mean time between two faults, in milliseconds. */
	readonly gap: number;
};

/** The relative frequency of each kind. Planned changes are the most frequent, as in real deployments. */
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
/** Partitions must last longer than the lease on keys; shorter ones would not test its expiry. */
const partitions: ReadonlySet<FaultKind> = new Set(['silence', 'silence-one-way']);
const partitionDurationFactor = 2.5;
const minimumDurationMilliseconds = 300;
const maximumDurationMilliseconds = 3500;
/** A wiped instance must have recovered all its data before the next disk may be lost. */
const minimumWipeIntervalMilliseconds = 12_000;

/**
Draws the faults of one soak at random. Faults may overlap and come in bursts.

@param options The random source, the length and the mean gap.
@returns The faults in chronological order.
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
		// A uniform distribution from 0 to twice the gap has the gap as its mean and also produces faults in close succession.
		at += 2 * random() * gap;
		if (at >= length) {
			return faults;
		}

		const drawnKind = drawKind(random);
		const isTooSoon = drawnKind === 'wipe' && at - wipedAt < minimumWipeIntervalMilliseconds;
		const kind = isTooSoon ? 'kill' : drawnKind;
		wipedAt = kind === 'wipe' ? at : wipedAt;
		const duration = minimumDurationMilliseconds + (random() * (maximumDurationMilliseconds - minimumDurationMilliseconds));
		faults.push({
			kind, at, duration: partitions.has(kind) ? partitionDurationFactor * duration : duration, pick: random(),
		});
	}
}

function drawKind(random: RandomSource): FaultKind {
	let total = 0;
	for (const [, weight] of kinds) {
		total += weight;
	}

	let remaining = random() * total;
	for (const [kind, weight] of kinds) {
		remaining -= weight;
		if (remaining < 0) {
			return kind;
		}
	}

	return 'kill';
}
