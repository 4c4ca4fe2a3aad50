import {type Verdict} from './judge.js';

/** The verdicts on both systems under one fault. */
export type Comparison = {
	readonly workload: string;
	readonly fault: string;
	readonly naive: Verdict;
	readonly valehitch: Verdict;
};

type Row = {
	readonly label: string;
	readonly figure: (verdict: Verdict) => number;
};

const labelWidth = 42;
const figureWidth = 12;
const rows: readonly Row[] = [
	{label: 'requests', figure: verdict => verdict.requests},
	{label: 'whole answers, share', figure: verdict => verdict.answered / verdict.requests},
	{label: 'met the target, share', figure: verdict => verdict.metTarget / verdict.requests},
	{label: 'cost per 1000 that met the target', figure: verdict => verdict.costPerThousand},
	{label: 'first token p50, ms', figure: verdict => verdict.firstToken.p50},
	{label: 'first token p95, ms', figure: verdict => verdict.firstToken.p95},
	{label: 'first token p99, ms', figure: verdict => verdict.firstToken.p99},
	{label: 'whole answer p50, ms', figure: verdict => verdict.wholeAnswer.p50},
	{label: 'whole answer p95, ms', figure: verdict => verdict.wholeAnswer.p95},
	{label: 'whole answer p99, ms', figure: verdict => verdict.wholeAnswer.p99},
	{label: 'answers by a bad version', figure: verdict => verdict.badAnswers},
	{label: 'refused as not run', figure: verdict => sumOf(Object.values(verdict.refusals))},
	{label: 'failed or lost', figure: verdict => verdict.failed},
	{label: 'sent again by callers', figure: verdict => verdict.resends},
	{label: 'runs beyond the first', figure: verdict => verdict.extraRuns},
	{label: 'calls run more than once', figure: verdict => verdict.doubledCalls},
	{label: 'calls answered and never run', figure: verdict => verdict.phantomCalls},
	{label: 'refused as not run, and ran', figure: verdict => verdict.falseRefusals},
	{label: 'answers with another text', figure: verdict => verdict.wrongAnswers},
	{label: 'ratings taken', figure: verdict => verdict.ratingsTaken},
];

/**
Lays out one comparison as a table with the ratio of valehitch to the naive router.

@param comparison The verdicts.
@returns The lines.
@example
```ts
formatComparison(comparison).join('\n');
```
*/
export function formatComparison({workload, fault, naive, valehitch}: Comparison): readonly string[] {
	return [
		lineOf(`${workload}, ${fault}`, ['naive', 'valehitch', 'ratio']),
		...rows.map(({label, figure}) => {
			const [left, right] = [figure(naive), figure(valehitch)];
			return lineOf(label, [formatFigure(left), formatFigure(right), left === 0 ? '-' : (right / left).toFixed(2)]);
		}),
		...Object.entries(valehitch.refusals).map(([kind, count]) => lineOf(`  refused as ${kind}`, ['', String(count), ''])),
	];
}

function lineOf(label: string, cells: readonly string[]): string {
	return `${label.padEnd(labelWidth)}${cells.map(cell => cell.padStart(figureWidth)).join('')}`;
}

function formatFigure(value: number): string {
	return Number.isInteger(value) ? String(value) : value.toFixed(3);
}

function sumOf(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
