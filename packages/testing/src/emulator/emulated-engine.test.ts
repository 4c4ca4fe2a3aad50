import test from 'ava';
import {
	EmulatedEngine, type EmulatedModel, type EngineSheet, type EngineWork,
} from './emulated-engine.js';

const small: EmulatedModel = {id: 'small', pace: 1, ability: 0.5};
const large: EmulatedModel = {id: 'large', pace: 3, ability: 1};
const parameters: EngineSheet = {
	slots: 2, queue: 1, memoryTokens: 10_000, readTokens: 100, stepMilliseconds: 3, chunkTokens: 500,
};

function requestOf(id: number, changes: Partial<EngineWork> = {}): EngineWork {
	return {
		id, model: small, parts: [], ownTokens: 100, outputTokens: 4, ...changes,
	};
}

/** Runs requests that arrive together to completion; returns the times of their first and last tokens and their cached prompt tokens. */
function runEngine(requests: readonly EngineWork[], changes: Partial<EngineSheet> = {}) {
	let now = 0;
	const firstTokenTimes = new Map<number, number>();
	const endTimes = new Map<number, number>();
	const cached = new Map<number, number>();
	const engine = new EmulatedEngine({...parameters, ...changes}, {
		onFirst(id, prompt) {
			firstTokenTimes.set(id, now);
			cached.set(id, prompt.cached);
		},
		onDone(id) {
			endTimes.set(id, now);
		},
	});
	const accepted = requests.map(request => engine.offer(request));
	while (engine.isBusy) {
		now += engine.step();
		engine.finishStep();
	}

	return {
		accepted, firstTokenTimes, endTimes, cached,
	};
}

test('a prompt is prefilled at the configured rate, and each output token takes one step', t => {
	const {firstTokenTimes, endTimes} = runEngine([requestOf(1, {ownTokens: 500})]);
	t.is(firstTokenTimes.get(1), 3 + 5);
	t.is(endTimes.get(1), 3 + 5 + (3 * 3));
});

test('a larger model takes longer to prefill and to decode', t => {
	const {firstTokenTimes, endTimes} = runEngine([requestOf(1, {ownTokens: 500, model: large})]);
	t.is(firstTokenTimes.get(1), 9 + 15);
	t.is(endTimes.get(1), 9 + 15 + (3 * 9));
});

test('a long prompt is prefilled in chunks, so decoding of other requests continues', t => {
	const {firstTokenTimes, endTimes} = runEngine([requestOf(1, {ownTokens: 10, outputTokens: 10}), requestOf(2, {ownTokens: 10_000})]);
	t.true(endTimes.get(1)! < firstTokenTimes.get(2)!, 'the short response waited for the prefill of the long prompt');
	t.true(firstTokenTimes.get(2)! >= 100, 'the long prompt was prefilled faster than the configured rate');
});

test('prompt segments are cached per model', t => {
	const parts = [{id: 'history', tokens: 4000}];
	const {cached} = runEngine([requestOf(1, {parts}), requestOf(2, {parts}), requestOf(3, {parts, model: large})], {slots: 1, queue: 9});
	t.deepEqual([...cached], [[1, 0], [2, 4000], [3, 0]]);
});

test('the least recently used segment is evicted first', t => {
	const promptOf = (id: string): Partial<EngineWork> => ({parts: [{id, tokens: 4000}]});
	const {cached} = runEngine(['a', 'b', 'a', 'c', 'a', 'b'].map((segment, index) => requestOf(index + 1, promptOf(segment))), {slots: 1, queue: 9});
	t.deepEqual([...cached.values()], [0, 0, 4000, 0, 4000, 0]);
});

test('a request is rejected when all slots and the queue are full', t => {
	const engine = new EmulatedEngine(parameters, {
		onFirst() {
			t.fail();
		},
		onDone() {
			t.fail();
		},
	});
	engine.offer(requestOf(1));
	engine.offer(requestOf(2));
	engine.step();
	t.true(engine.offer(requestOf(3)));
	t.false(engine.offer(requestOf(4)));
	t.deepEqual(engine.crash(), [1, 2, 3]);
	t.false(engine.isBusy);
	engine.finishStep();
});
