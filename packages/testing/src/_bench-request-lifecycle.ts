import {performance} from 'node:perf_hooks';
import {type RequestId, toId} from '@valehitch/core';
import {
	DecisionHistory, RetryBudget, type RequestEvent, type RequestPlan, type RequestState, StageHistory, startRequest, stepRequest,
} from '@valehitch/routing';
import {measureHeapBytes} from './_bench-tools.js';

const requests = 50_000;
const pieces = 20;
const liveRequests = 10_000;

const plan: RequestPlan = {
	target: {type: 'version', model: toId('tag-small'), version: toId('1.0')},
	session: 'none',
	repeatable: true,
	requiresClaim: false,
	streamed: true,
	judged: false,
	deadline: 60_000,
	promptTokens: 400,
	hedge: {prefillMilliseconds: 300, decodeMilliseconds: 500},
};

function createEvents(): RequestEvent[] {
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

function runRequest(events: readonly RequestEvent[]): RequestState {
	let {state} = startRequest(plan);
	for (const event of events) {
		state = stepRequest(state, {event, now: 1}).state;
	}

	return state;
}

/**
Measures the request state machine: throughput, and bytes of state per request.

@returns The lines of the report.
@example
```ts
console.log(benchRequestLifecycle().join('\n'));
```
*/
export function benchRequestLifecycle(): string[] {
	const events = createEvents();
	const untilLastChunk = events.slice(0, -2);
	runRequest(events);
	const start = performance.now();
	for (let request = 0; request < requests; request++) {
		runRequest(events);
	}

	const seconds = (performance.now() - start) / 1000;
	const state = measureHeapBytes(() => Array.from({length: liveRequests}, () => runRequest(untilLastChunk))) / liveRequests;
	return [
		`life: ${Math.round(requests / seconds)} requests/s, ${Math.round(requests * events.length / seconds)} events/s, ${events.length} events each`,
		`life: ${Math.round(state)} bytes of state for a request that streams`,
		...measureMemory(),
	];
}

function measureMemory(): string[] {
	const ring = measureHeapBytes(() => {
		const created = new DecisionHistory({capacity: liveRequests});
		for (let index = 0; index < liveRequests; index++) {
			const request = toId<RequestId>(`r${index}`);
			created.add({
				request, workspace: toId('mills'), at: index, versions: [{model: toId('tag-small'), version: toId('1.0'), verdict: 'chosen'}], attempts: [],
			});
			created.recordAttempt(request, {
				attempt: 1, purpose: 'first', servers: Array.from({length: 8}, () => ({server: toId('engine-1'), verdict: 'busier'})), outcome: 'ran', reason: 'complete',
			});
		}

		return created;
	});
	const history = measureHeapBytes(() => {
		const created = new StageHistory();
		for (let index = 0; index < 1000; index++) {
			created.record(String(index), {stage: 'prefill', milliseconds: index});
		}

		return created;
	});
	const budget = measureHeapBytes(() => {
		const created = new RetryBudget();
		for (let index = 0; index < 4000; index++) {
			created.deposit(`mills/${index}`, 0);
		}

		return created;
	});
	return [
		`books: ${Math.round(ring / liveRequests)} bytes for a request in the decision ring, ${Math.round(history / 1000)} for a sketch, ${Math.round(budget / 4000)} for a budget`,
	];
}
