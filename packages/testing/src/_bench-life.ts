import {performance} from 'node:perf_hooks';
import {type RequestId, toId} from '@valehitch/core';
import {
	DecisionRing, RetryBudget, type RequestEvent, type RequestPlan, type RequestState, StageHistory, startRequest, stepRequest,
} from '@valehitch/routing';
import {heapOf} from './_bench-tools.js';

const requests = 50_000;
const pieces = 20;
const liveRequests = 10_000;

const plan: RequestPlan = {
	target: {type: 'version', model: toId('tag-small'), version: toId('1.0')},
	session: 'none',
	repeatable: true,
	claimed: false,
	streamed: true,
	judged: false,
	deadline: 60_000,
	promptTokens: 400,
	hedge: {prefillMilliseconds: 300, decodeMilliseconds: 500},
};

function eventsOf(): RequestEvent[] {
	const events: RequestEvent[] = [
		{type: 'admitted'},
		{type: 'bill-opened'},
		{type: 'server-chosen', attempt: 1, server: toId('engine-1')},
		{type: 'attempt-head', attempt: 1},
	];
	for (let piece = 0; piece < pieces; piece++) {
		events.push({
			type: 'attempt-piece', attempt: 1, offset: piece * 4, length: 4, tokens: 1,
		});
	}

	events.push({
		type: 'attempt-complete', attempt: 1, offset: pieces * 4, usage: {input: 400, output: pieces},
	}, {type: 'bill-settled'});
	return events;
}

function play(events: readonly RequestEvent[]): RequestState {
	let {state} = startRequest(plan);
	for (const event of events) {
		state = stepRequest(state, {event, now: 1}).state;
	}

	return state;
}

/**
Measures the life of a request: speed, and bytes of state.

@returns The lines of the report.
@example
```ts
console.log(benchLife().join('\n'));
```
*/
export function benchLife(): string[] {
	const events = eventsOf();
	const streaming = events.slice(0, -2);
	play(events);
	const start = performance.now();
	for (let request = 0; request < requests; request++) {
		play(events);
	}

	const seconds = (performance.now() - start) / 1000;
	const state = heapOf(() => Array.from({length: liveRequests}, () => play(streaming))) / liveRequests;
	return [
		`life: ${Math.round(requests / seconds)} requests/s, ${Math.round(requests * events.length / seconds)} events/s, ${events.length} events each`,
		`life: ${Math.round(state)} bytes of state for a request that streams`,
		...benchBooks(),
	];
}

function benchBooks(): string[] {
	const ring = heapOf(() => {
		const made = new DecisionRing({capacity: liveRequests});
		for (let index = 0; index < liveRequests; index++) {
			const request = toId<RequestId>(`r${index}`);
			made.begin({
				request, workspace: toId('mills'), at: index, versions: [{model: toId('tag-small'), version: toId('1.0'), verdict: 'chosen'}], attempts: [],
			});
			made.attempt(request, {
				attempt: 1, purpose: 'first', servers: Array.from({length: 8}, () => ({server: toId('engine-1'), verdict: 'busier'})), outcome: 'ran', reason: 'complete',
			});
		}

		return made;
	});
	const history = heapOf(() => {
		const made = new StageHistory();
		for (let index = 0; index < 1000; index++) {
			made.record(String(index), {stage: 'prefill', milliseconds: index});
		}

		return made;
	});
	const budget = heapOf(() => {
		const made = new RetryBudget();
		for (let index = 0; index < 4000; index++) {
			made.deposit(`mills/${index}`, 0);
		}

		return made;
	});
	return [
		`books: ${Math.round(ring / liveRequests)} bytes for a request in the decision ring, ${Math.round(history / 1000)} for a sketch, ${Math.round(budget / 4000)} for a budget`,
	];
}
