import test from 'ava';
import {EmulatedEngine, type EngineSheet, type EngineWork} from './emulated-engine.js';

const small = {id: 'small', pace: 1, ability: 0.5};
const large = {id: 'large', pace: 3, ability: 1};
const sheet: EngineSheet = {
	slots: 2, queue: 1, memoryTokens: 10_000, readTokens: 100, stepMilliseconds: 3, chunkTokens: 500,
};

function workOf(id: number, changes: Partial<EngineWork> = {}): EngineWork {
	return {
		id, model: small, parts: [], ownTokens: 100, outputTokens: 4, ...changes,
	};
}

/** Plays works that come together to their ends; gives the moments of their first and last tokens, and what was kept. */
function play(works: readonly EngineWork[], changes: Partial<EngineSheet> = {}) {
	let now = 0;
	const firsts = new Map<number, number>();
	const ends = new Map<number, number>();
	const kept = new Map<number, number>();
	const engine = new EmulatedEngine({...sheet, ...changes}, {
		onFirst(id, prompt) {
			firsts.set(id, now);
			kept.set(id, prompt.kept);
		},
		onDone(id) {
			ends.set(id, now);
		},
	});
	const taken = works.map(work => engine.offer(work));
	while (engine.isBusy) {
		now += engine.step();
		engine.finishStep();
	}

	return {
		taken, firsts, ends, kept,
	};
}

test('a prompt is read at its rate, and its answer takes a step a token', t => {
	const {firsts, ends} = play([workOf(1, {ownTokens: 500})]);
	t.is(firsts.get(1), 3 + 5);
	t.is(ends.get(1), 3 + 5 + (3 * 3));
});

test('a larger model takes longer for both', t => {
	const {firsts, ends} = play([workOf(1, {ownTokens: 500, model: large})]);
	t.is(firsts.get(1), 9 + 15);
	t.is(ends.get(1), 9 + 15 + (3 * 9));
});

test('a long prompt is read in chunks, so that an answer in progress goes on beside it', t => {
	const {firsts, ends} = play([workOf(1, {ownTokens: 10, outputTokens: 10}), workOf(2, {ownTokens: 10_000})]);
	t.true(ends.get(1)! < firsts.get(2)!, 'the short answer had to wait for the long prompt');
	t.true(firsts.get(2)! >= 100, 'the long prompt is read at its rate all the same');
});

test('parts that were read for the same model are kept, and those of another model are not', t => {
	const parts = [{id: 'history', tokens: 4000}];
	const {kept} = play([workOf(1, {parts}), workOf(2, {parts}), workOf(3, {parts, model: large})], {slots: 1, queue: 9});
	t.deepEqual([...kept], [[1, 0], [2, 4000], [3, 0]]);
});

test('the least recently used part goes first', t => {
	const partsOf = (id: string) => ({parts: [{id, tokens: 4000}]});
	const {kept} = play([workOf(1, partsOf('a')), workOf(2, partsOf('b')), workOf(3, partsOf('a')), workOf(4, partsOf('c')), workOf(5, partsOf('a')), workOf(6, partsOf('b'))], {slots: 1, queue: 9});
	t.deepEqual([...kept.values()], [0, 0, 4000, 0, 4000, 0]);
});

test('a request that finds all places and the queue full is turned away', t => {
	const engine = new EmulatedEngine(sheet, {
		onFirst() {
			t.fail();
		},
		onDone() {
			t.fail();
		},
	});
	engine.offer(workOf(1));
	engine.offer(workOf(2));
	engine.step();
	t.true(engine.offer(workOf(3)));
	t.false(engine.offer(workOf(4)));
	t.deepEqual(engine.crash(), [1, 2, 3]);
	t.false(engine.isBusy);
	engine.finishStep();
});
