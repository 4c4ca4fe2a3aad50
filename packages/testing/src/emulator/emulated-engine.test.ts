import test from 'ava';
import {
	EmulatedEngine, type EmulatedModel, type EngineParameters, type EngineRequest,
} from './emulated-engine.js';

const small: EmulatedModel = {id: 'small', slowdownFactor: 1, capability: 0.5};
const large: EmulatedModel = {id: 'large', slowdownFactor: 3, capability: 1};
const parameters: EngineParameters = {
	slots: 2, queueLimit: 1, cacheTokens: 10_000, prefillTokensPerMillisecond: 100, stepMilliseconds: 3, prefillChunkTokens: 500,
};

function requestOf(id: number, changes: Partial<EngineRequest> = {}): EngineRequest {
	return {
		id, model: small, segments: [], uniqueTokens: 100, outputTokens: 4, ...changes,
	};
}

/** Runs requests that arrive together to completion; returns the times of their first and last tokens and their cached prompt tokens. */
function runEngine(requests: readonly EngineRequest[], changes: Partial<EngineParameters> = {}) {
	let now = 0;
	const firstTokenTimes = new Map<number, number>();
	const endTimes = new Map<number, number>();
	const cached = new Map<number, number>();
	const engine = new EmulatedEngine({...parameters, ...changes}, {
		onFirstToken(id, prompt) {
			firstTokenTimes.set(id, now);
			cached.set(id, prompt.cached);
		},
		onComplete(id) {
			endTimes.set(id, now);
		},
	});
	const accepted = requests.map(request => engine.tryEnqueue(request));
	while (engine.isBusy) {
		now += engine.step();
		engine.finishStep();
	}

	return {
		accepted, firstTokenTimes, endTimes, cached,
	};
}

test('a prompt is prefilled at the configured rate, and each output token takes one step', t => {
	const {firstTokenTimes, endTimes} = runEngine([requestOf(1, {uniqueTokens: 500})]);
	t.is(firstTokenTimes.get(1), 3 + 5);
	t.is(endTimes.get(1), 3 + 5 + (3 * 3));
});

test('a larger model takes longer to prefill and to decode', t => {
	const {firstTokenTimes, endTimes} = runEngine([requestOf(1, {uniqueTokens: 500, model: large})]);
	t.is(firstTokenTimes.get(1), 9 + 15);
	t.is(endTimes.get(1), 9 + 15 + (3 * 9));
});

test('a long prompt is prefilled in chunks, so decoding of other requests continues', t => {
	const {firstTokenTimes, endTimes} = runEngine([requestOf(1, {uniqueTokens: 10, outputTokens: 10}), requestOf(2, {uniqueTokens: 10_000})]);
	t.true(endTimes.get(1)! < firstTokenTimes.get(2)!, 'the short response waited for the prefill of the long prompt');
	t.true(firstTokenTimes.get(2)! >= 100, 'the long prompt was prefilled faster than the configured rate');
});

test('prompt segments are cached per model', t => {
	const parts = [{id: 'history', tokens: 4000}];
	const {cached} = runEngine([requestOf(1, {segments: parts}), requestOf(2, {segments: parts}), requestOf(3, {segments: parts, model: large})], {slots: 1, queueLimit: 9});
	t.deepEqual([...cached], [[1, 0], [2, 4000], [3, 0]]);
});

test('the least recently used segment is evicted first', t => {
	const promptOf = (id: string): Partial<EngineRequest> => ({segments: [{id, tokens: 4000}]});
	const {cached} = runEngine(['a', 'b', 'a', 'c', 'a', 'b'].map((segment, index) => requestOf(index + 1, promptOf(segment))), {slots: 1, queueLimit: 9});
	t.deepEqual([...cached.values()], [0, 0, 4000, 0, 4000, 0]);
});

test('a request is rejected when all slots and the queue are full', t => {
	const engine = new EmulatedEngine(parameters, {
		onFirstToken() {
			t.fail();
		},
		onComplete() {
			t.fail();
		},
	});
	engine.tryEnqueue(requestOf(1));
	engine.tryEnqueue(requestOf(2));
	engine.step();
	t.true(engine.tryEnqueue(requestOf(3)));
	t.false(engine.tryEnqueue(requestOf(4)));
	t.deepEqual(engine.crash(), [1, 2, 3]);
	t.false(engine.isBusy);
	engine.finishStep();
});
