import test from 'ava';
import {planRequestSequences} from './_demo-plan.js';
import {compareBills, formatDemoReport} from './_demo-report.js';
import {type DemoResult} from './_demo-traffic.js';

function resultOf(requestId: string): DemoResult {
	return {
		status: 200, headers: {}, requestId, text: '', done: true, totalMilliseconds: 2, kind: 'print', isWhole: true,
	};
}

function billOf(request: string) {
	return {
		workspace: 'yard', request, total: 100, outcome: 'answered', lines: [],
	};
}

test('responses and bills match only one to one', t => {
	const results = [resultOf('r1'), resultOf('r2')];
	const bills = [billOf('r2'), billOf('r1')];
	t.true(compareBills(results, bills).isMatch);
	t.deepEqual(compareBills(results, [billOf('r1')]).unbilled, ['r2']);
	t.false(compareBills(results, [billOf('r1')]).isMatch);
	t.deepEqual(compareBills(results, [...bills, billOf('r3')]).unanswered, ['r3']);
	t.false(compareBills(results, [...bills, billOf('r3')]).isMatch);
	t.false(compareBills(results, [...bills, billOf('r1')]).isMatch);
	t.false(compareBills([...results, resultOf('r1')], bills).isMatch);
	t.false(compareBills([...results, resultOf('')], bills).isMatch);
	t.false(compareBills([{...resultOf('r1'), isWhole: false}, resultOf('r2')], bills).isMatch);
	t.false(compareBills([], []).isMatch);
});

test('the table counts requests, refusals and cost', t => {
	const refused: DemoResult = {
		...resultOf('r2'), isWhole: false, done: false, status: 503, problem: {kind: 'no-server'},
	};
	const {lines, isMatch} = formatDemoReport([resultOf('r1'), refused], [billOf('r1')]);
	const table = lines.join('\n');
	t.true(isMatch);
	t.regex(table, /refused or failed: no-server +1/v);
	t.regex(table, /requests to the labels service +1/v);
	t.regex(table, /cost in units of account +0\.000100/v);
});

test('the plan has the given number of requests, is deterministic and has all kinds', t => {
	const requests = planRequestSequences(200).flat();
	t.is(requests.length, 200);
	t.deepEqual(requests, planRequestSequences(200).flat());
	t.deepEqual([...new Set(requests.map(({kind}) => kind))].toSorted(), ['lookup', 'print', 'reconcile', 'turn']);
});
