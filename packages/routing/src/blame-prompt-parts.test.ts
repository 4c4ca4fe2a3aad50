import {type PromptPartFingerprint} from '@valehitch/core';
import test from 'ava';
import {blamePromptParts, type SuspectedPart} from './blame-prompt-parts.js';
import {promptPartFingerprint} from './prompt-part-fingerprint.js';

function part(id: string, depth: number, processes: string): SuspectedPart {
	return {
		fingerprint: promptPartFingerprint(id), depth, wasAnswered: false, processes: new Set(processes),
	};
}

/** Returns the ids of the parts that are blamed; three exits are enough. */
function blame(...parts: readonly SuspectedPart[]): readonly PromptPartFingerprint[] {
	const orders = [parts, parts.toReversed()].map(order => [...blamePromptParts(order, {isProof: ({length}) => length >= 3})].toSorted());
	return orders[0]!.join(' ') === orders[1]!.join(' ') ? orders[0]! : [];
}

function fingerprints(...ids: readonly string[]): readonly PromptPartFingerprint[] {
	return ids.map(id => promptPartFingerprint(id));
}

test('the part with the most exits is blamed, and those beside it are not', t => {
	t.deepEqual(blame(part('first', 0, 'abc'), part('bad', 1, 'abcde'), part('beside', 1, 'bcd')), fingerprints('bad'));
	t.deepEqual(blame(part('bad', 0, 'abcde'), part('one', 1, 'abc'), part('other', 1, 'de')), fingerprints('bad'));
});

test('fewer exits than are enough blame nothing', t => {
	t.deepEqual(blame(), []);
	t.deepEqual(blame(part('one', 0, 'ab'), part('other', 1, 'bc')), []);
});

test('of two parts with the same exits the deeper one is blamed', t => {
	t.deepEqual(blame(part('first', 0, 'abc'), part('second', 1, 'abc')), fingerprints('second'));
});

test('a part that two crashing ones have in common is not blamed, though it has more exits than either', t => {
	t.deepEqual(blame(part('first', 0, 'abefg'), part('bad', 1, 'abcd'), part('worse', 1, 'efgh')), fingerprints('bad', 'worse'));
});

test('a part with one exit that nothing else explains is not blamed for those that another part explains', t => {
	t.deepEqual(blame(part('bad', 1, 'abcde'), part('beside', 1, 'abcz')), fingerprints('bad'));
});

test('a part that was answered before is blamed only for exits that no other part explains', t => {
	const first = {...part('first', 0, 'abcdef'), wasAnswered: true};
	t.deepEqual(blame(first, part('bad', 1, 'abcd')), fingerprints('bad'));
	t.deepEqual(blame(first, part('bad', 1, 'abc')), fingerprints('bad', 'first'));
	t.deepEqual(blame(first, part('other', 1, 'ab')), fingerprints('first'));
});
