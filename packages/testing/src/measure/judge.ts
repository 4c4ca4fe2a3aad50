import {build, type Histogram} from 'hdr-histogram-js';
import {type CallerRecord} from './caller.js';
import {type RecordedRun} from './fault.js';
import {type CellRecords} from './run-cell.js';
import {type Workload} from './workload.js';

/** Milliseconds at three percentiles; undefined without an answer. */
export type Percentiles = {
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
};

/** What came of one cell, judged from what callers and back ends recorded. */
export type Verdict = {
	readonly requests: number;
	/** Whole and right answers. */
	readonly answered: number;
	/** Answers of a sound version of the wanted quality, within the deadline. */
	readonly metTarget: number;
	/** Units of account over all runs, for each thousand answers that met the target. */
	readonly costPerThousand: number;
	readonly firstToken: Percentiles;
	readonly wholeAnswer: Percentiles;
	/** Answers by a bad version after it turned. */
	readonly badAnswers: number;
	/** Requests refused as not run, by the kind of the refusal. */
	readonly refusals: Readonly<Record<string, number>>;
	/** Requests that ended with neither a whole answer nor a refusal as not run. */
	readonly failed: number;
	/** Sends by callers beyond the first. */
	readonly resends: number;
	/** Runs of chats beyond the first of each request. */
	readonly extraRuns: number;
	/** Calls that may not be repeated and ran more than once. */
	readonly doubledCalls: number;
	/** Calls that were answered and never ran; those of a killed service are not known. */
	readonly phantomCalls: number;
	/** Refusals as not run of requests that did run. */
	readonly falseRefusals: number;
	/** Answers that came to their end with another text. */
	readonly wrongAnswers: number;
	readonly ratingsSent: number;
	readonly ratingsTaken: number;
};

const tokensPerPrice = 1_000_000;
const thousand = 1000;
const microsecondsInMillisecond = 1000;

/**
Judges a cell from outside.

@param records What callers and back ends recorded.
@param workload Tells prices, targets and true qualities.
@returns The verdict.
@example
```ts
judge(records, workload).metTarget;
```
*/
export function judge({callers, runs, ratings}: CellRecords, workload: Workload): Verdict {
	const whole = callers.filter(({isWhole}) => isWhole);
	const metTarget = whole.filter(record => meetsTarget(record, workload)).length;
	const runIds = new Set(runs.map(({requestId}) => requestId));
	const refused = callers.filter(record => !record.isWhole && refusalOf(record) !== undefined);
	const calls = runsByKey(runs);
	return {
		requests: callers.length,
		answered: whole.length,
		metTarget,
		costPerThousand: costOfRuns(runs, {callers, workload}) * thousand / Math.max(1, metTarget),
		firstToken: percentilesOf(whole.filter(({request}) => request.kind.form === 'streamed').map(({firstTokenMilliseconds}) => firstTokenMilliseconds)),
		wholeAnswer: percentilesOf(whole.map(({totalMilliseconds}) => totalMilliseconds)),
		badAnswers: whole.filter(({isBad}) => isBad).length,
		refusals: countBy(refused.map(record => refusalOf(record) ?? '')),
		failed: callers.length - whole.length - refused.length,
		resends: sumOf(callers.map(({sends}) => sends.length - 1)),
		extraRuns: extraRunsOf(runs),
		doubledCalls: [...calls.values()].filter(count => count > 1).length,
		phantomCalls: whole.filter(({request}) => request.kind.form === 'call' && !calls.has(request.id)).length,
		falseRefusals: refused.filter(({sends}) => sends.some(({requestId, problem}) => problem?.outcome === 'notRun' && runIds.has(requestId))).length,
		wrongAnswers: callers.filter(({isWrong}) => isWrong).length,
		ratingsSent: ratings.sent,
		ratingsTaken: ratings.taken,
	};
}

function meetsTarget({request: {kind}, version, isBad, totalMilliseconds}: CallerRecord, {qualities}: Workload): boolean {
	const isGood = kind.form === 'call' || (!isBad && (qualities[version] ?? 0) >= kind.qualityTarget);
	return isGood && totalMilliseconds <= kind.deadlineMilliseconds;
}

function refusalOf({sends}: CallerRecord): string | undefined {
	const problem = sends.at(-1)?.problem;
	return problem?.outcome === 'notRun' ? problem.kind : undefined;
}

/** A run costs what its prompt and, where it came to its end, its answer cost; runs whose request is not known cost the mean prompt. */
function costOfRuns(runs: readonly RecordedRun[], {callers, workload}: {readonly callers: readonly CallerRecord[]; readonly workload: Workload}): number {
	const requests = new Map(callers.flatMap(({request, sends}) => sends.map(({requestId}) => [requestId, request] as const)));
	const meanWords = sumOf(callers.map(({request}) => request.kind.promptWords)) / Math.max(1, callers.length);
	let cost = 0;
	for (const {requestId, model = '', version = '', completed} of runs) {
		const prices = workload.prices[`${model}@${version}`];
		const kind = requests.get(requestId)?.kind;
		const longest = workload.speeds[model]?.answerTokens ?? 0;
		const output = completed ? Math.min(kind?.maxTokens ?? longest, longest) : 0;
		cost += (((prices?.input ?? 0) * (kind?.promptWords ?? meanWords)) + ((prices?.output ?? 0) * output)) / tokensPerPrice;
	}

	return cost;
}

function extraRunsOf(runs: readonly RecordedRun[]): number {
	const chats = runs.filter(({model}) => model !== undefined);
	return chats.length - new Set(chats.map(({requestId}) => requestId)).size;
}

function runsByKey(runs: readonly RecordedRun[]): ReadonlyMap<string, number> {
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

function percentile(histogram: Histogram, share: number): number {
	return histogram.getValueAtPercentile(share) / microsecondsInMillisecond;
}

function sumOf(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
