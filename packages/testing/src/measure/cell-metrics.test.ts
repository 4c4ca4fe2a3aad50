import test from 'ava';
import {type CallResult} from '../http-client.js';
import {type CallerRecord} from './caller.js';
import {type RecordedRun} from './fault.js';
import {computeCellMetrics} from './cell-metrics.js';
import {type PlannedRequest, planRequests} from './schedule.js';
import {workloads} from './workloads.js';

const [workload = throwMissingWorkload()] = workloads;
const planned = planRequests(workload, {seconds: 10, seed: 1});

function requestOf(form: 'call' | 'streamed'): PlannedRequest {
	const found = planned.find(({kind}) => kind.form === form);
	if (found === undefined) {
		throw new Error(`the schedule contains no ${form} request`);
	}

	return found;
}

function recordOf(request: PlannedRequest, members: Partial<CallerRecord> & {readonly send?: Partial<CallResult>} = {}): CallerRecord {
	const {send, ...others} = members;
	return {
		request,
		attempts: [{
			status: 200, headers: {}, requestId: 'r1', text: '', done: true, totalMilliseconds: 1, ...send,
		}],
		version: 'tag-small@1.1',
		isComplete: true,
		isUnexpected: false,
		isDegraded: false,
		firstTokenMilliseconds: 1,
		totalMilliseconds: 2,
		...others,
	};
}

function runOf(members: Partial<RecordedRun>): RecordedRun {
	return {
		server: 's', requestId: 'r1', attempt: '1', completed: true, cancelled: false, ...members,
	};
}

function evaluate(callers: readonly CallerRecord[], runs: readonly RecordedRun[]) {
	return computeCellMetrics({
		system: 'x', callers, runs, ratings: {sent: 0, accepted: 0},
	}, workload);
}

test('the same seed plans the same requests, and another seed plans different ones', t => {
	t.deepEqual(planRequests(workload, {seconds: 10, seed: 1}), planned);
	t.notDeepEqual(planRequests(workload, {seconds: 10, seed: 2}), planned);
});

test('detects a call that ran twice, a call that never ran and a refused request that ran', t => {
	const request = requestOf('call');
	t.like(evaluate([recordOf(request)], [runOf({key: request.id}), runOf({key: request.id})]), {doubledCalls: 1, phantomCalls: 0});
	t.like(evaluate([recordOf(request)], []), {doubledCalls: 0, phantomCalls: 1});
	const refused = recordOf(request, {isComplete: false, send: {done: false, problem: {kind: 'overloaded', outcome: 'notRun'}}});
	t.like(evaluate([refused], [runOf({key: request.id})]), {falseRefusals: 1, refusals: {overloaded: 1}, failed: 0});
	t.like(evaluate([refused], []), {falseRefusals: 0});
});

test('a degraded, a late and an incorrect response miss the target', t => {
	const request = requestOf('streamed');
	t.like(evaluate([recordOf(request)], []), {metTarget: 1});
	t.like(evaluate([recordOf(request, {isDegraded: true})], []), {metTarget: 0, badAnswers: 1});
	t.like(evaluate([recordOf(request, {totalMilliseconds: request.kind.deadlineMilliseconds + 1})], []), {metTarget: 0, answered: 1});
	t.like(evaluate([recordOf(request, {isComplete: false, isUnexpected: true})], []), {failed: 1, wrongAnswers: 1});
});

function throwMissingWorkload(): never {
	throw new Error('no workload is defined');
}
