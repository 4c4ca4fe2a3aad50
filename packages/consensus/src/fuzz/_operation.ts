import * as fc from 'fast-check';
import {type ReplicaMessage} from '../replica-message.js';

/** An operation on the simulation, and the time to run without further operations after it. */
export type Operation = {
	readonly type: 'propose' | 'crash' | 'freeze' | 'wipe' | 'partition' | 'isolate' | 'heal' | 'message-faults' | 'send-delay' | 'crash-on-send' | 'snapshot' | 'sync-delay' | 'add' | 'remove';
	/** The index of the node, or `leaderNode` for the current leader. */
	readonly node: number;
	readonly duration: number;
	/** The nodes on one side of a partition as a bit set, or `leaderSide`. */
	readonly side: number;
	/** The type of message that triggers a `crash-on-send`. */
	readonly message: ReplicaMessage['type'];
	readonly delayAfter: number;
};

/** The node index that denotes the current leader. */
export const leaderNode = 5;
/** The partition side that consists of the current leader only. */
export const leaderSide = 32;
const lastSide = 31;

const weights: ReadonlyArray<readonly [Operation['type'], number]> = [
	['propose', 6],
	['crash', 5],
	['freeze', 3],
	['wipe', 3],
	['partition', 4],
	['isolate', 3],
	['heal', 4],
	['message-faults', 2],
	['send-delay', 2],
	['crash-on-send', 8],
	['snapshot', 3],
	['sync-delay', 2],
	['add', 1],
	['remove', 1],
];

/** Generates random sequences of operations. */
export const operations: fc.Arbitrary<Operation[]> = fc.array(fc.record({
	type: fc.oneof(...weights.map(([type, weight]) => ({arbitrary: fc.constant(type), weight}))),
	node: fc.oneof(
		{arbitrary: fc.integer({min: 0, max: 2}), weight: 5},
		{arbitrary: fc.integer({min: 3, max: 4}), weight: 1},
		{arbitrary: fc.constant(leaderNode), weight: 4},
	),
	duration: fc.oneof(fc.integer({min: 0, max: 30}), fc.integer({min: 0, max: 250})),
	side: fc.oneof(fc.constantFrom(0, leaderSide), fc.constantFrom(1, 2, 4), fc.integer({min: 0, max: lastSide})),
	message: fc.constantFrom('vote-request', 'vote-reply', 'append-request', 'append-reply'),
	delayAfter: fc.oneof(fc.integer({min: 0, max: 20}), fc.integer({min: 0, max: 160})),
}), {minLength: 1, maxLength: 40, size: 'max'});
