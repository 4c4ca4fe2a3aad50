import {type RequestId, type ServerId, toId} from '@valehitch/core';
import test from 'ava';
import {DecisionRing} from './decision-ring.js';

function begin(ring: DecisionRing, name: string): RequestId {
	const request = toId<RequestId>(name);
	ring.begin({
		request, workspace: toId('mills'), at: 0, versions: [], attempts: [],
	});
	return request;
}

test('keeps the latest requests with their attempts', t => {
	const ring = new DecisionRing({capacity: 2, maximumEntries: 2});
	const first = begin(ring, 'r1');
	const second = begin(ring, 'r2');
	const servers = ['a', 'b', 'c'].map(name => ({server: toId<ServerId>(name), verdict: 'busier'}));
	ring.attempt(second, {attempt: 1, purpose: 'first', servers});
	ring.attempt(second, {
		attempt: 1, purpose: 'first', servers: [], outcome: 'ran', reason: 'complete',
	});
	ring.attempt(second, {attempt: 2, purpose: 'hedge', servers});
	ring.attempt(second, {attempt: 3, purpose: 'retry', servers: []});
	ring.end(second, 'answered');
	begin(ring, 'r3');
	ring.end(first, 'answered');
	t.is(ring.get(first), undefined);
	t.is(ring.size, 2);
	t.deepEqual(ring.get(second)?.attempts.map(({attempt, outcome, servers: kept}) => [attempt, outcome, kept.length]), [[1, 'ran', 0], [2, undefined, 2]]);
	t.is(ring.get(second)?.ending, 'answered');
});
