/**
Compares detectors of bad versions over seeded roll-outs: `node bench-bad-version.js [SEEDS]`.

@module
*/
import process from 'node:process';
import {type BadVersionTrial, runBadVersionTrial, type TrialResult} from '../_bad-version-trial.js';

const seeds = Number(process.argv[2] ?? 100);
const firstSeed = 20_261_202;
const scenarios: ReadonlyArray<{readonly name: string; readonly turnsInto: Omit<BadVersionTrial, 'seed'>}> = [
	{name: 'stays good: false alarms in 20 minutes', turnsInto: {rating: 0.85, failureShare: 0.01}},
	{name: 'ratings fall from 0.85 to 0.45', turnsInto: {rating: 0.45, failureShare: 0.01}},
	{name: 'ratings fall from 0.85 to 0.70', turnsInto: {rating: 0.7, failureShare: 0.01}},
	{name: 'failures rise from 1 % to 30 %', turnsInto: {rating: 0.85, failureShare: 0.3}},
];

function quantile(sorted: readonly number[], share: number): string {
	return String(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? '-');
}

console.log(`Requests served by the bad version after it turned, ${seeds} seeds from ${firstSeed}`);
for (const {name, turnsInto} of scenarios) {
	const results: TrialResult[] = [];
	for (let index = 0; index < seeds; index += 1) {
		results.push(runBadVersionTrial({seed: firstSeed + (index * 104_729), ...turnsInto}));
	}

	console.log(`\n${name}`);
	for (const rule of Object.keys(results[0] ?? {})) {
		const found = results.map(result => result[rule]).filter(served => served !== undefined).toSorted((left, right) => left - right);
		const early = found.filter(served => served === 0).length;
		console.log([
			rule.padEnd(36),
			`stopped ${found.length}`.padEnd(13),
			`before it turned ${early}`.padEnd(22),
			`median ${quantile(found, 0.5)}`.padEnd(12),
			`p95 ${quantile(found, 0.95)}`.padEnd(10),
			`most ${found.at(-1) ?? '-'}`,
		].join(' '));
	}
}
