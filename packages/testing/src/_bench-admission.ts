import {performance} from 'node:perf_hooks';
import {type RequestId, toId, type WorkspaceId} from '@valehitch/core';
import {AdmissionController, type AdmissionRequest} from '@valehitch/routing';
import {sampleExponential, quantileOf} from './_bench-tools.js';
import {seededRandom} from './_seeded-random.js';

const capacityTokens = 40_000;
const tokensPerSecondPerRequest = 200;
const simulatedMilliseconds = 120_000;
const smallWorkspaces = 9;
const deadlineMilliseconds = 20_000;
// Service time at the 90th percentile of 100 tokens plus an exponential number with mean 900.
const p90Milliseconds = 10_860;

type Arrival = {
	readonly at: number;
	readonly request: AdmissionRequest;
	readonly tokens: number;
};

type Outcome = {
	readonly waits: {readonly large: number[]; readonly small: number[]};
	readonly tokens: {large: number; small: number};
	readonly offered: {large: number; small: number};
	refused: number;
	late: number;
	done: number;
};

/** Generates the arrivals: the large workspace alone offers twice the capacity, each small one a twentieth of it. */
function generateArrivals(seed: number): Arrival[] {
	const random = seededRandom(seed);
	const generated: Arrival[] = [];
	const perSecond = capacityTokens / 1000 * tokensPerSecondPerRequest / 1000;
	for (let workspace = 0; workspace <= smallWorkspaces; workspace++) {
		const rate = workspace === 0 ? 2 * perSecond : perSecond / 20;
		for (let at = sampleExponential(1000 / rate, random); at < simulatedMilliseconds; at += sampleExponential(1000 / rate, random)) {
			const tokens = 100 + Math.round(sampleExponential(900, random));
			generated.push({
				at, tokens, request: {
					id: toId<RequestId>(`r${generated.length}`),
					workspace: toId<WorkspaceId>(`w${workspace}`),
					weight: 1,
					priority: 5,
					cost: 1000,
					deadline: at + deadlineMilliseconds,
					serviceMilliseconds: 1000 * 1000 / tokensPerSecondPerRequest,
				},
			});
		}
	}

	return generated.toSorted((one, other) => one.at - other.at);
}

/** Simulates admission of the arrivals; without `fair`, all belong to one workspace, which makes the queue first come, first served. */
function simulate(list: readonly Arrival[], {fair, refusesEarly, usesP90 = false}: {readonly fair: boolean; readonly refusesEarly: boolean; readonly usesP90?: boolean}): Outcome {
	const admission = new AdmissionController({capacity: capacityTokens, maximumQueueLength: 100_000});
	const byId = new Map(list.map(arrival => [arrival.request.id, arrival]));
	const completions: Array<{at: number; id: RequestId}> = [];
	const outcome: Outcome = {
		waits: {large: [], small: []}, tokens: {large: 0, small: 0}, offered: {large: 0, small: 0}, refused: 0, late: 0, done: 0,
	};
	let nextDeadlineIndex = 0;
	const startRequest = (id: RequestId, now: number) => {
		const arrival = byId.get(id)!;
		const size = arrival.request.workspace === 'w0' ? 'large' : 'small';
		const end = now + (arrival.tokens / tokensPerSecondPerRequest * 1000);
		outcome.waits[size].push(now - arrival.at);
		outcome.tokens[size] += arrival.tokens;
		outcome.late += end > arrival.at + deadlineMilliseconds ? 1 : 0;
		const insertionIndex = completions.findIndex(other => other.at > end);
		completions.splice(insertionIndex === -1 ? completions.length : insertionIndex, 0, {at: end, id});
	};

	const cancelOverdue = (now: number) => {
		const left = refusesEarly ? list : [];
		for (let next = left[nextDeadlineIndex]; next !== undefined && next.at + deadlineMilliseconds <= now; next = left[++nextDeadlineIndex]) {
			for (const id of admission.cancel(next.request.id)) {
				startRequest(id, now);
			}
		}
	};

	const finishUntil = (now: number) => {
		while (completions[0] !== undefined && completions[0].at <= now) {
			const {at, id} = completions.shift()!;
			outcome.done++;
			for (const next of admission.release(id, {tokens: byId.get(id)!.tokens, now: at})) {
				startRequest(next, at);
			}
		}
	};

	for (const {at, request, tokens} of list) {
		finishUntil(at);
		cancelOverdue(at);
		outcome.offered[request.workspace === 'w0' ? 'large' : 'small'] += tokens;
		const answer = admission.offer({
			...request, ...(!fair && {workspace: toId('all')}), ...(!refusesEarly && {deadline: Number.MAX_SAFE_INTEGER}), ...(usesP90 && {serviceMilliseconds: p90Milliseconds}),
		}, at);
		if (answer.type === 'admitted') {
			startRequest(request.id, at);
		}

		outcome.refused += answer.type === 'refused' ? 1 : 0;
	}

	finishUntil(simulatedMilliseconds);
	return outcome;
}

/**
Measures the throughput of admission, and the effect of one large workspace on nine small ones.

@param seed The seed of the arrivals.
@returns The lines of the report.
@example
```ts
console.log(benchAdmission(7).join('\n'));
```
*/
export function benchAdmission(seed: number): string[] {
	const list = generateArrivals(seed);
	const lines = [benchSpeed()];
	for (const [name, options] of [
		['first come, first served', {fair: false, refusesEarly: false}],
		['first come, early refusal', {fair: false, refusesEarly: true}],
		['fair', {fair: true, refusesEarly: false}],
		['fair, early refusal', {fair: true, refusesEarly: true}],
		['fair, early refusal by the p90 of the work', {fair: true, refusesEarly: true, usesP90: true}],
	] as const) {
		const {waits, tokens, offered, refused, late, done} = simulate(list, options);
		const wait = `wait p95 of small ${Math.round(quantileOf(waits.small, 0.95))} ms, of large ${Math.round(quantileOf(waits.large, 0.95))} ms`;
		const served = `tokens served of those offered: small ${percent(tokens.small / offered.small)}, large ${percent(tokens.large / offered.large)}`;
		lines.push(`admission, ${name}: ${wait}; ${served}; ${list.length} offered, ${refused} refused, ${done} done, ${late} past their deadline`);
	}

	return lines;
}

function benchSpeed(): string {
	const admission = new AdmissionController({capacity: 1000, maximumQueueLength: 10_000});
	const total = 200_000;
	const running: RequestId[] = [];
	const start = performance.now();
	for (let index = 0; index < total; index++) {
		const request = {
			id: toId<RequestId>(`r${index}`), workspace: toId<WorkspaceId>(`w${index % 200}`), weight: 1, priority: 5, cost: 100, deadline: Number.MAX_SAFE_INTEGER, serviceMilliseconds: 0,
		};
		if (admission.offer(request, index).type === 'admitted') {
			running.push(request.id);
		}

		if (index > 5000) {
			running.push(...admission.release(running.shift()!, {tokens: 100, now: index}));
		}
	}

	return `admission: ${Math.round(total / (performance.now() - start) * 1000)} requests/s with 200 workspaces and ${admission.waiting} waiting`;
}

function percent(share: number): string {
	return `${Math.round(share * 100)} %`;
}
