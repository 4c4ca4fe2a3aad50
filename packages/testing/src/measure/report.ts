import {type CellMetrics} from './cell-metrics.js';

/** The metrics of both systems for one workload and fault. */
export type Comparison = {
	readonly workload: string;
	readonly fault: string;
	readonly naive: CellMetrics;
	readonly valehitch: CellMetrics;
};

type Row = {
	readonly label: string;
	readonly metric: (metrics: CellMetrics) => number;
};

const labelWidth = 42;
const cellWidth = 12;
const rows: readonly Row[] = [
	{label: 'requests', metric: metrics => metrics.requests},
	{label: 'complete responses, share', metric: metrics => metrics.answered / metrics.requests},
	{label: 'met the target, share', metric: metrics => metrics.metTarget / metrics.requests},
	{label: 'cost per 1000 that met the target', metric: metrics => metrics.costPerThousand},
	{label: 'first token p50, ms', metric: metrics => metrics.firstToken.p50},
	{label: 'first token p95, ms', metric: metrics => metrics.firstToken.p95},
	{label: 'first token p99, ms', metric: metrics => metrics.firstToken.p99},
	{label: 'complete response p50, ms', metric: metrics => metrics.wholeAnswer.p50},
	{label: 'complete response p95, ms', metric: metrics => metrics.wholeAnswer.p95},
	{label: 'complete response p99, ms', metric: metrics => metrics.wholeAnswer.p99},
	{label: 'responses of a degraded version', metric: metrics => metrics.badAnswers},
	{label: 'refused as not executed', metric: metrics => sumOf(Object.values(metrics.refusals))},
	{label: 'failed', metric: metrics => metrics.failed},
	{label: 'retries by callers', metric: metrics => metrics.resends},
	{label: 'duplicate runs of chat requests', metric: metrics => metrics.extraRuns},
	{label: 'non-repeatable calls run more than once', metric: metrics => metrics.doubledCalls},
	{label: 'calls answered but never run', metric: metrics => metrics.phantomCalls},
	{label: 'refused as not executed but run', metric: metrics => metrics.falseRefusals},
	{label: 'responses with unexpected text', metric: metrics => metrics.wrongAnswers},
	{label: 'ratings accepted', metric: metrics => metrics.ratingsTaken},
];

/**
Formats a comparison as a table with the ratio of valehitch to the naive router.

@param comparison The metrics of both systems.
@returns The lines.
@example
```ts
formatComparison(comparison).join('\n');
```
*/
export function formatComparison({workload, fault, naive, valehitch}: Comparison): readonly string[] {
	return [
		formatLine(`${workload}, ${fault}`, ['naive', 'valehitch', 'ratio']),
		...rows.map(({label, metric}) => {
			const [baseline, measured] = [metric(naive), metric(valehitch)];
			return formatLine(label, [formatMetric(baseline), formatMetric(measured), baseline === 0 ? '-' : (measured / baseline).toFixed(2)]);
		}),
		...Object.entries(valehitch.refusals).map(([kind, count]) => formatLine(`  refused as ${kind}`, ['', String(count), ''])),
	];
}

function formatLine(label: string, cells: readonly string[]): string {
	return `${label.padEnd(labelWidth)}${cells.map(cell => cell.padStart(cellWidth)).join('')}`;
}

function formatMetric(value: number): string {
	return Number.isInteger(value) ? String(value) : value.toFixed(3);
}

function sumOf(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
