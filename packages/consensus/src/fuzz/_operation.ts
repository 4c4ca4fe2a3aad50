import * as fc from 'fast-check';

/** One thing that happens to the group, and how long it is left alone after it. */
export type Operation = {
	readonly type: 'propose' | 'crash' | 'freeze' | 'wipe' | 'cut' | 'heal' | 'noise' | 'snapshot' | 'sync' | 'add' | 'remove';
	readonly node: number;
	readonly units: number;
	readonly after: number;
};

const weights: ReadonlyArray<readonly [Operation['type'], number]> = [
	['propose', 6], ['crash', 5], ['freeze', 3], ['wipe', 3], ['cut', 4], ['heal', 3], ['noise', 2], ['snapshot', 3], ['sync', 2], ['add', 1], ['remove', 1],
];

/** Operations in random order. */
export const operations: fc.Arbitrary<Operation[]> = fc.array(fc.record({
	type: fc.oneof(...weights.map(([type, weight]) => ({arbitrary: fc.constant(type), weight}))),
	node: fc.oneof({arbitrary: fc.integer({min: 0, max: 2}), weight: 4}, {arbitrary: fc.integer({min: 3, max: 4}), weight: 1}),
	units: fc.oneof(fc.integer({min: 0, max: 31}), fc.integer({min: 0, max: 250})),
	after: fc.oneof(fc.integer({min: 0, max: 20}), fc.integer({min: 0, max: 160})),
}), {minLength: 1, maxLength: 40, size: 'max'});
