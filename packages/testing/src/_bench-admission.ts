import {performance} from 'node:perf_hooks';
import {type RequestId, toId, type WorkspaceId} from '@valehitch/core';
import {Admission, type AdmissionRequest} from '@valehitch/routing';
import {exponential, quantileOf} from './_bench-tools.js';
import {seededRandom} from './_seeded-random.js';

const capacityTokens = 40_000;
const tokensPerSecondOfRequest = 200;
const simulatedMilliseconds = 120_000;
const smallWorkspaces = 9;
const deadlineMilliseconds = 20_000;
// Of 100 tokens and an exponential number with the mean 900.
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

/** The large workspace offers twice the capacity by itself; each small one offers a twentieth. */
function arrivals(seed: number): Arrival[] {
	const random = seededRandom(seed);
	const made: Arrival[] = [];
	const perSecond = capacityTokens / 1000 * tokensPerSecondOfRequest / 1000;
	for (let workspace = 0; workspace <= smallWorkspaces; workspace++) {
		const rate = workspace === 0 ? 2 * perSecond : perSecond / 20;
		for (let at = exponential(1000 / rate, random); at < simulatedMilliseconds; at += exponential(1000 / rate, random)) {
			const tokens = 100 + Math.round(exponential(900, random));
			made.push({
				at, tokens, request: {
					id: toId<RequestId>(`r${made.length}`),
					workspace: toId<WorkspaceId>(`w${workspace}`),
					weight: 1,
					priority: 5,
					cost: 1000,
					deadline: at + deadlineMilliseconds,
					serviceMilliseconds: 1000 * 1000 / tokensPerSecondOfRequest,
				},
			});
		}
	}

	return made.toSorted((one, other) => one.at - other.at);
}

/** Plays the arrivals; with `fair` off all are of one workspace, which makes the queue first come, first served. */
function play(list: readonly Arrival[], {fair, early, careful = false}: {readonly fair: boolean; readonly early: boolean; readonly careful?: boolean}): Outcome {
	const admission = new Admission({capacity: capacityTokens, maximumWaiting: 100_000});
	const byId = new Map(list.map(arrival => [arrival.request.id, arrival]));
	const ends: Array<{at: number; id: RequestId}> = [];
	const outcome: Outcome = {
		waits: {large: [], small: []}, tokens: {large: 0, small: 0}, offered: {large: 0, small: 0}, refused: 0, late: 0, done: 0,
	};
	let oldest = 0;
	const begin = (id: RequestId, now: number) => {
		const arrival = byId.get(id)!;
		const size = arrival.request.workspace === 'w0' ? 'large' : 'small';
		const end = now + (arrival.tokens / tokensPerSecondOfRequest * 1000);
		outcome.waits[size].push(now - arrival.at);
		outcome.tokens[size] += arrival.tokens;
		outcome.late += end > arrival.at + deadlineMilliseconds ? 1 : 0;
		const place = ends.findIndex(other => other.at > end);
		ends.splice(place === -1 ? ends.length : place, 0, {at: end, id});
	};

	const leaveAt = (now: number) => {
		const left = early ? list : [];
		for (let next = left[oldest]; next !== undefined && next.at + deadlineMilliseconds <= now; next = left[++oldest]) {
			for (const id of admission.leave(next.request.id)) {
				begin(id, now);
			}
		}
	};

	const finishUntil = (now: number) => {
		while (ends[0] !== undefined && ends[0].at <= now) {
			const {at, id} = ends.shift()!;
			outcome.done++;
			for (const next of admission.release(id, {tokens: byId.get(id)!.tokens, now: at})) {
				begin(next, at);
			}
		}
	};

	for (const {at, request, tokens} of list) {
		finishUntil(at);
		leaveAt(at);
		outcome.offered[request.workspace === 'w0' ? 'large' : 'small'] += tokens;
		const answer = admission.offer({
			...request, ...(!fair && {workspace: toId('all')}), ...(!early && {deadline: Number.MAX_SAFE_INTEGER}), ...(careful && {serviceMilliseconds: p90Milliseconds}),
		}, at);
		if (answer.type === 'admitted') {
			begin(request.id, at);
		}

		outcome.refused += answer.type === 'refused' ? 1 : 0;
	}

	finishUntil(simulatedMilliseconds);
	return outcome;
}

/**
Measures admission: speed, and what one large workspace does to nine small ones.

@param seed The seed of the arrivals.
@returns The lines of the report.
@example
```ts
console.log(benchAdmission(7).join('\n'));
```
*/
export function benchAdmission(seed: number): string[] {
	const list = arrivals(seed);
	const lines = [benchSpeed()];
	for (const [name, options] of [
		['first come, first served', {fair: false, early: false}],
		['first come, early refusal', {fair: false, early: true}],
		['fair', {fair: true, early: false}],
		['fair, early refusal', {fair: true, early: true}],
		['fair, early refusal by the p90 of the work', {fair: true, early: true, careful: true}],
	] as const) {
		const {waits, tokens, offered, refused, late, done} = play(list, options);
		const wait = `wait p95 of small ${Math.round(quantileOf(waits.small, 0.95))} ms, of large ${Math.round(quantileOf(waits.large, 0.95))} ms`;
		const served = `tokens served of those offered: small ${percent(tokens.small / offered.small)}, large ${percent(tokens.large / offered.large)}`;
		lines.push(`admission, ${name}: ${wait}; ${served}; ${list.length} offered, ${refused} refused, ${done} done, ${late} past their deadline`);
	}

	return lines;
}

function benchSpeed(): string {
	const admission = new Admission({capacity: 1000, maximumWaiting: 10_000});
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
