import {build, type Histogram} from 'hdr-histogram-js';
import {type CallerRecord} from './caller.js';
import {type RecordedRun} from './fault.js';
import {type CellRecords} from './run-cell.js';
import {type Workload} from './workload.js';

/** Latency percentiles in milliseconds; 0 without responses. */
export type Percentiles = {
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
};

/** The metrics of one cell, computed from the records of callers and backend servers. */
export type CellMetrics = {
	readonly requests: number;
	/** Complete and expected responses. */
	readonly answered: number;
	/** Responses within the deadline from a version that was not degraded and meets the quality target. */
	readonly metTarget: number;
	/** Cost of all runs per 1000 responses that met the target, in units of account. */
	readonly costPerThousand: number;
	readonly firstToken: Percentiles;
	readonly wholeAnswer: Percentiles;
	/** Responses of a version after it was degraded. */
	readonly badAnswers: number;
	/** Requests refused as not executed, by the kind of the refusal. */
	readonly refusals: Readonly<Record<string, number>>;
	/** Requests that ended with neither a complete response nor a refusal as not executed. */
	readonly failed: number;
	/** Attempts by callers after the first one of each request. */
	readonly resends: number;
	/** Runs of chat requests after the first one of each request. */
	readonly extraRuns: number;
	/** Non-repeatable calls that were executed more than once. */
	readonly doubledCalls: number;
	/** Calls that got a response but were never executed; the runs of a killed service are unknown. */
	readonly phantomCalls: number;
	/** Refusals as not executed of requests that did run. */
	readonly falseRefusals: number;
	/** Responses that completed with an unexpected text. */
	readonly wrongAnswers: number;
	readonly ratingsSent: number;
	readonly ratingsTaken: number;
};

const tokensPerPriceUnit = 1_000_000;
const responsesPerCostUnit = 1000;
const microsecondsInMillisecond = 1000;

/**
Computes the metrics of a cell from the records of callers and backend servers alone.

@param records The records.
@param workload The prices, targets and true qualities.
@returns The metrics.
@example
```ts
computeCellMetrics(records, workload).metTarget;
```
*/
export function computeCellMetrics({callers, runs, ratings}: CellRecords, workload: Workload): CellMetrics {
	const complete = callers.filter(({isComplete}) => isComplete);
	const metTarget = complete.filter(record => meetsTarget(record, workload)).length;
	const runIds = new Set(runs.map(({requestId}) => requestId));
	const refused = callers.filter(record => !record.isComplete && refusalOf(record) !== undefined);
	const runCounts = countRunsByKey(runs);
	return {
		requests: callers.length,
		answered: complete.length,
		metTarget,
		costPerThousand: costOfRuns(runs, {callers, workload}) * responsesPerCostUnit / Math.max(1, metTarget),
		firstToken: percentilesOf(complete.filter(({request}) => request.kind.form === 'streamed').map(({firstTokenMilliseconds}) => firstTokenMilliseconds)),
		wholeAnswer: percentilesOf(complete.map(({totalMilliseconds}) => totalMilliseconds)),
		badAnswers: complete.filter(({isDegraded}) => isDegraded).length,
		refusals: countBy(refused.map(record => refusalOf(record) ?? '')),
		failed: callers.length - complete.length - refused.length,
		resends: sumOf(callers.map(({attempts}) => attempts.length - 1)),
		extraRuns: extraRunsOf(runs),
		doubledCalls: [...runCounts.values()].filter(count => count > 1).length,
		phantomCalls: complete.filter(({request}) => request.kind.form === 'call' && !runCounts.has(request.id)).length,
		falseRefusals: refused.filter(({attempts}) => attempts.some(({requestId, problem}) => problem?.outcome === 'notRun' && runIds.has(requestId))).length,
		wrongAnswers: callers.filter(({isUnexpected}) => isUnexpected).length,
		ratingsSent: ratings.sent,
		ratingsTaken: ratings.accepted,
	};
}

function meetsTarget({request: {kind}, version, isDegraded, totalMilliseconds}: CallerRecord, {qualities}: Workload): boolean {
	const isGood = kind.form === 'call' || (!isDegraded && (qualities[version] ?? 0) >= kind.qualityTarget);
	return isGood && totalMilliseconds <= kind.deadlineMilliseconds;
}

function refusalOf({attempts}: CallerRecord): string | undefined {
	const problem = attempts.at(-1)?.problem;
	return problem?.outcome === 'notRun' ? problem.kind : undefined;
}

/** Each run costs its prompt and, if it completed, its output; runs of unknown requests are charged the mean prompt length. */
function costOfRuns(runs: readonly RecordedRun[], {callers, workload}: {readonly callers: readonly CallerRecord[]; readonly workload: Workload}): number {
	const requests = new Map(callers.flatMap(({request, attempts}) => attempts.map(({requestId}) => [requestId, request] as const)));
	const meanWords = sumOf(callers.map(({request}) => request.kind.promptWords)) / Math.max(1, callers.length);
	let cost = 0;
	for (const {requestId, model = '', version = '', completed} of runs) {
		const prices = workload.prices[`${model}@${version}`];
		const kind = requests.get(requestId)?.kind;
		const modelMaxTokens = workload.speeds[model]?.answerTokens ?? 0;
		const output = completed ? Math.min(kind?.maxTokens ?? modelMaxTokens, modelMaxTokens) : 0;
		cost += (((prices?.input ?? 0) * (kind?.promptWords ?? meanWords)) + ((prices?.output ?? 0) * output)) / tokensPerPriceUnit;
	}

	return cost;
}

function extraRunsOf(runs: readonly RecordedRun[]): number {
	const chats = runs.filter(({model}) => model !== undefined);
	return chats.length - new Set(chats.map(({requestId}) => requestId)).size;
}

function countRunsByKey(runs: readonly RecordedRun[]): ReadonlyMap<string, number> {
	return new Map(Object.entries(countBy(runs.map(({key}) => key ?? '').filter(key => key !== ''))));
}

function countBy(names: readonly string[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const name of names) {
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}

function percentilesOf(milliseconds: readonly number[]): Percentiles {
	const histogram = build();
	for (const value of milliseconds) {
		histogram.recordValue(Math.round(value * microsecondsInMillisecond));
	}

	return {p50: percentile(histogram, 50), p95: percentile(histogram, 95), p99: percentile(histogram, 99)};
}

function percentile(histogram: Histogram, rank: number): number {
	return histogram.getValueAtPercentile(rank) / microsecondsInMillisecond;
}

function sumOf(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
