/**
Compares rules that detect degraded versions over seeded rollouts. Usage: `node bench-bad-version.js [SEEDS]`.

@module
*/
import process from 'node:process';
import {type BadVersionTrial, runBadVersionTrial, type DetectionResult} from '../_bad-version-trial.js';

const seeds = Number(process.argv[2] ?? 100);
const firstSeed = 20_261_202;
const scenarios: ReadonlyArray<{readonly name: string; readonly degradesTo: Omit<BadVersionTrial, 'seed'>}> = [
	{name: 'does not degrade: false alarms in 20 minutes', degradesTo: {rating: 0.85, failureShare: 0.01}},
	{name: 'ratings fall from 0.85 to 0.45', degradesTo: {rating: 0.45, failureShare: 0.01}},
	{name: 'ratings fall from 0.85 to 0.70', degradesTo: {rating: 0.7, failureShare: 0.01}},
	{name: 'failures rise from 1 % to 30 %', degradesTo: {rating: 0.85, failureShare: 0.3}},
];

function quantile(sorted: readonly number[], fraction: number): string {
	return String(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? '-');
}

console.log(`Requests served by the degraded version before each rule stopped it, ${seeds} seeds from ${firstSeed}`);
for (const {name, degradesTo} of scenarios) {
	const results: DetectionResult[] = [];
	for (let index = 0; index < seeds; index += 1) {
		results.push(runBadVersionTrial({seed: firstSeed + (index * 104_729), ...degradesTo}));
	}

	console.log(`\n${name}`);
	for (const rule of Object.keys(results[0] ?? {})) {
		const servedCounts = results.map(result => result[rule]).filter(served => served !== undefined).toSorted((left, right) => left - right);
		const stoppedEarly = servedCounts.filter(served => served === 0).length;
		console.log([
			rule.padEnd(36),
			`stopped ${servedCounts.length}`.padEnd(13),
			`before degrading ${stoppedEarly}`.padEnd(22),
			`median ${quantile(servedCounts, 0.5)}`.padEnd(12),
			`p95 ${quantile(servedCounts, 0.95)}`.padEnd(10),
			`max ${servedCounts.at(-1) ?? '-'}`,
		].join(' '));
	}
}
