import test from 'ava';
import {type Decision} from './_decision.js';
import {type LossCause} from './_loss-cause.js';
import {summarizeLosses} from './_sum-losses.js';

type Line = {
	readonly kind: string;
	readonly at?: number;
	readonly instance?: string;
	readonly fields?: Readonly<Record<string, string>>;
};

function linesOf(request: string | undefined, lines: readonly Line[]): readonly Decision[] {
	return lines.map(({kind, at = 1000, instance = '10.1.0.40', fields = {}}, index) => ({
		kind, instance, at: at + index, level: 30, request, fields: new Map(Object.entries(fields)),
	}));
}

const answered = {
	route: 'drafts', outcome: 'answered', sends: '1', duration: '3000',
};
const refused = {...answered, outcome: 'refused'};

const cases: ReadonlyArray<readonly [LossCause | undefined, readonly Line[]]> = [
	[undefined, [{kind: 'request-ended', fields: {...answered, headAfter: '1900'}}]],
	['waited', [{kind: 'request-ended', fields: {...answered, headAfter: '2100'}}]],
	['waited', [{kind: 'request-ended', fields: {...answered, duration: '2100'}}]],
	['never-tried', [{kind: 'request-ended', fields: {...refused, sends: '0'}}]],
	['server-unreachable', [{kind: 'request-attempt-ended', fields: {result: 'unreachable'}}, {kind: 'request-ended', fields: {...refused, sends: '0'}}]],
	['server-silent', [{kind: 'request-attempt-ended', fields: {result: 'silent'}}, {kind: 'request-ended', fields: {...answered, headAfter: '2500'}}]],
	['server-turned-away', [{kind: 'request-attempt-ended', fields: {result: 'not-run'}}, {kind: 'request-ended', fields: refused}]],
	['server-failed', [{kind: 'request-ended', fields: {...answered, status: '500', duration: '40'}}]],
	['stream-broken', [{kind: 'request-escalated'}, {kind: 'request-resumed'}, {kind: 'request-ended', fields: {...answered, outcome: 'broken-off'}}]],
	['larger-model', [{kind: 'request-attempt-ended', fields: {result: 'silent'}}, {kind: 'request-escalated'}, {kind: 'request-ended', fields: {...answered, headAfter: '2500'}}]],
	['caller-left', [{kind: 'request-ended', fields: {...answered, outcome: 'caller-left'}}]],
	['no-end', [{kind: 'request-dispatched'}]],
];

for (const [cause, lines] of cases) {
	test(`a request with ${lines.map(({kind, fields}) => `${kind} ${fields?.result ?? ''}`.trim()).join(', ')} (${JSON.stringify(lines.at(-1)?.fields ?? {})}) counts as ${cause ?? 'served'}`, t => {
		const {requests, losses} = summarizeLosses(linesOf('a1', lines), {late: 2000});
		t.is(requests, 1);
		t.deepEqual(losses.map(row => row.cause), cause === undefined ? [] : [cause]);
	});
}

test('a request whose instance restarted after its last record counts as lost with the instance', t => {
	const {losses} = summarizeLosses([...linesOf('a1', [{kind: 'request-dispatched', at: 1000}]), ...linesOf(undefined, [{kind: 'process-started', at: 1500}])], {late: 2000});
	t.like(losses, [{cause: 'instance-ended', requests: 1, percent: 100}]);
});

test('causes are sorted by frequency and list routes and example requests; a refused request is not counted', t => {
	const lostRequest = (request: string, route: string): readonly Decision[] => linesOf(request, [{kind: 'request-ended', fields: {...refused, route, sends: '0'}}]);
	const late = linesOf('late', [{kind: 'request-ended', fields: {...answered, headAfter: '2500'}}]);
	const {requests, losses} = summarizeLosses([
		...late, ...lostRequest('a1', 'drafts'), ...lostRequest('a2', 'notes'), ...lostRequest('a3', 'notes'), ...lostRequest('a4', 'notes'), ...linesOf('key', [{kind: 'request-refused'}]),
	], {late: 2000});
	t.is(requests, 5);
	t.like(losses, [{
		cause: 'never-tried', requests: 4, percent: 80, routes: 'notes 3, drafts 1', examples: 'a1 a2 a3',
	}, {cause: 'waited', requests: 1}]);
});

test('models are counted by route, with the answers that were replaced by a larger model', t => {
	const endLine = (model: string, confidence: string): Line => ({kind: 'request-ended', fields: {...answered, model, confidence}});
	const {models} = summarizeLosses([
		...linesOf('a1', [endLine('small', '80')]),
		...linesOf('a2', [endLine('small', '60')]),
		...linesOf('a3', [{kind: 'request-escalated', fields: {from: 'small', to: 'large', confidence: '20'}}, endLine('large', '90')]),
	], {late: 5000});
	t.deepEqual(models, [
		{
			route: 'drafts', model: 'small', answered: 2, confidence: 70, steppedOn: 1,
		},
		{
			route: 'drafts', model: 'large', answered: 1, confidence: 90, steppedOn: 0,
		},
	]);
});
