import * as fc from 'fast-check';
import {type ReplicaMessage} from '../replica-message.js';

/** One thing that happens to the group, and how long it is left alone after it. */
export type Operation = {
	readonly type: 'propose' | 'crash' | 'freeze' | 'wipe' | 'cut' | 'isolate' | 'heal' | 'noise' | 'lag' | 'trap' | 'snapshot' | 'sync' | 'add' | 'remove';
	/** The host, or `leaderTarget` for the one that leads at the time. */
	readonly node: number;
	readonly units: number;
	/** Of a partition, the hosts on one side as the bits of a number, or `leaderSide`. */
	readonly side: number;
	/** What a trap waits for. */
	readonly message: ReplicaMessage['type'];
	readonly after: number;
};

/** Stands for the host that leads. */
export const leaderTarget = 5;
/** Stands for a side with the leading host alone. */
export const leaderSide = 32;
const lastSide = 31;

const weights: ReadonlyArray<readonly [Operation['type'], number]> = [
	['propose', 6], ['crash', 5], ['freeze', 3], ['wipe', 3], ['cut', 4], ['isolate', 3], ['heal', 4], ['noise', 2], ['lag', 2], ['trap', 8], ['snapshot', 3], ['sync', 2], ['add', 1], ['remove', 1],
];

/** Operations in random order. */
export const operations: fc.Arbitrary<Operation[]> = fc.array(fc.record({
	type: fc.oneof(...weights.map(([type, weight]) => ({arbitrary: fc.constant(type), weight}))),
	node: fc.oneof(
		{arbitrary: fc.integer({min: 0, max: 2}), weight: 5},
		{arbitrary: fc.integer({min: 3, max: 4}), weight: 1},
		{arbitrary: fc.constant(leaderTarget), weight: 4},
	),
	units: fc.oneof(fc.integer({min: 0, max: 30}), fc.integer({min: 0, max: 250})),
	side: fc.oneof(fc.constantFrom(0, leaderSide), fc.constantFrom(1, 2, 4), fc.integer({min: 0, max: lastSide})),
	message: fc.constantFrom('vote-request', 'vote-reply', 'append-request', 'append-reply'),
	after: fc.oneof(fc.integer({min: 0, max: 20}), fc.integer({min: 0, max: 160})),
}), {minLength: 1, maxLength: 40, size: 'max'});
