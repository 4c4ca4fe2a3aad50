import {type RequestId, type ServerId, toId} from '@valehitch/core';
import test from 'ava';
import {DecisionHistory} from './decision-history.js';

function begin(history: DecisionHistory, name: string): RequestId {
	const request = toId<RequestId>(name);
	history.add({
		request, workspace: toId('mills'), at: 0, versions: [], attempts: [],
	});
	return request;
}

test('keeps the latest requests with their attempts, up to the limits', t => {
	const history = new DecisionHistory({capacity: 2, maximumEntries: 2});
	const first = begin(history, 'r1');
	const second = begin(history, 'r2');
	const servers = ['a', 'b', 'c'].map(name => ({server: toId<ServerId>(name), verdict: 'busier'}));
	history.recordAttempt(second, {attempt: 1, purpose: 'first', servers});
	history.recordAttempt(second, {
		attempt: 1, purpose: 'first', servers: [], outcome: 'ran', reason: 'complete',
	});
	history.recordAttempt(second, {attempt: 2, purpose: 'hedge', servers});
	history.recordAttempt(second, {attempt: 3, purpose: 'retry', servers: []});
	history.recordEnd(second, 'answered');
	begin(history, 'r3');
	history.recordEnd(first, 'answered');
	t.is(history.get(first), undefined);
	t.is(history.size, 2);
	t.deepEqual(history.get(second)?.attempts.map(({attempt, outcome, servers: kept}) => [attempt, outcome, kept.length]), [[1, 'ran', 0], [2, undefined, 2]]);
	t.is(history.get(second)?.ending, 'answered');
});
