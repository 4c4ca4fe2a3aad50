import {build, type Histogram} from 'hdr-histogram-js';
import {type DemoResult, headerText} from './_demo-traffic.js';
import {type LedgerBill} from './deployment.js';

export type DemoReport = {
	/** The lines of the table. */
	readonly lines: readonly string[];
	readonly isMatch: boolean;
};

type BillComparison = {
	readonly unbilled: readonly string[];
	readonly unanswered: readonly string[];
	/** Number of duplicate responses, duplicate bills, and responses without a request id. */
	readonly repeated: number;
	readonly isMatch: boolean;
};

const labelWidth = 34;
const microsInUnit = 1_000_000;
const microsecondsInMillisecond = 1000;

/** Compares the complete responses with the bills, request by request. */
export function compareBills(results: readonly DemoResult[], bills: readonly LedgerBill[]): BillComparison {
	const answered = results.filter(({isWhole}) => isWhole).map(({requestId}) => requestId);
	const billed = bills.map(({request}) => request);
	const answeredSet = new Set(answered.filter(id => id !== ''));
	const billedSet = new Set(billed);
	const unbilled = [...answeredSet].filter(id => !billedSet.has(id));
	const unanswered = [...billedSet].filter(id => !answeredSet.has(id));
	const repeated = (answered.length - answeredSet.size) + (billed.length - billedSet.size);
	const isMatch = answeredSet.size > 0 && unbilled.length === 0 && unanswered.length === 0 && repeated === 0;
	return {
		unbilled, unanswered, repeated, isMatch,
	};
}

/** Formats the table that the demo prints. */
export function formatDemoReport(results: readonly DemoResult[], bills: readonly LedgerBill[]): DemoReport {
	const completed = results.filter(({isWhole}) => isWhole);
	const match = compareBills(results, bills);
	const latencies = latenciesOf(completed);
	let cost = 0;
	for (const {total} of bills) {
		cost += total;
	}

	const lines = [
		formatRow('requests', results.length),
		formatRow('whole answers', completed.length),
		formatRow('bills', bills.length),
		formatRow('cost in units of account', (cost / microsInUnit).toFixed(6)),
		formatRow('latency p50 in milliseconds', percentile(latencies, 50)),
		formatRow('latency p95 in milliseconds', percentile(latencies, 95)),
		...countRows('requests to', completed.map(result => targetOf(result))),
		...countRows('refused or failed:', results.filter(({isWhole}) => !isWhole).map(result => reasonOf(result))),
		formatRow('answers without a bill', match.unbilled.length),
		formatRow('bills without an answer', match.unanswered.length),
		formatRow('repeated or unnamed', match.repeated),
		formatRow('answers and bills match', match.isMatch ? 'yes' : 'NO'),
	];
	return {lines, isMatch: match.isMatch};
}

function formatRow(label: string, value: number | string): string {
	return `${label.padEnd(labelWidth)} ${String(value).padStart(12)}`;
}

function countRows(label: string, names: readonly string[]): readonly string[] {
	const counts = new Map<string, number>();
	for (const name of names) {
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return [...counts].toSorted(([left], [right]) => left.localeCompare(right)).map(([name, count]) => formatRow(`${label} ${name}`, count));
}

function targetOf(result: DemoResult): string {
	return result.kind === 'print' ? 'the labels service' : `${headerText(result, 'valehitch-model')} ${headerText(result, 'valehitch-version')}`;
}

function reasonOf({problem, status, done, connectionError}: DemoResult): string {
	if (problem) {
		return problem.kind;
	}

	if (status === 0) {
		return 'no connection';
	}

	if (done) {
		return 'another text';
	}

	return connectionError === undefined ? `status ${status}` : 'cut answer';
}

function latenciesOf(results: readonly DemoResult[]): Histogram {
	const histogram = build();
	for (const {totalMilliseconds} of results) {
		histogram.recordValue(Math.round(totalMilliseconds * microsecondsInMillisecond));
	}

	return histogram;
}

function percentile(histogram: Histogram, rank: number): string {
	return (histogram.getValueAtPercentile(rank) / microsecondsInMillisecond).toFixed(1);
}
