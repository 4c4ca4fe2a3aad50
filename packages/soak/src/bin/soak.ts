#!/usr/bin/env node
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runSoak} from '../run-soak.js';

/** Runs soaks one after another: `npm run soak -- --seed 7 --runs 50`, or `--minutes 5` for as many as fit in that time. */
const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		runs: {type: 'string'},
		minutes: {type: 'string'},
		seconds: {type: 'string', default: '12'},
		gap: {type: 'string', default: '500'},
		controls: {type: 'string', default: '3'},
		entries: {type: 'string', default: '3'},
	},
});
const millisecondsPerSecond = 1000;
const millisecondsPerMinute = 60_000;
const firstSeed = Number(values.seed);
const runs = values.runs === undefined && values.minutes === undefined ? 1 : Number(values.runs ?? Number.POSITIVE_INFINITY);
const deadline = values.minutes === undefined ? Number.POSITIVE_INFINITY : performance.now() + (Number(values.minutes) * millisecondsPerMinute);
let failedRuns = 0;
for (let run = 0; run < runs && performance.now() < deadline; run++) {
	const seed = firstSeed + run;
	const {faults, record, violations} = await runSoak({
		seed,
		length: Number(values.seconds) * millisecondsPerSecond,
		gap: Number(values.gap),
		controls: Number(values.controls),
		entries: Number(values.entries),
	});
	const servedCount = record.requests.filter(({status, isComplete}) => status === 200 && isComplete).length;
	const counts = `${faults.length} faults, ${record.requests.length} requests, ${servedCount} served completely, ${record.configurations.length} configurations`;
	process.stdout.write(`seed ${seed}: ${counts}, ${violations.length} violations\n`);
	for (const line of violations) {
		process.stdout.write(`  ${line}\n`);
	}

	failedRuns += violations.length === 0 ? 0 : 1;
}

process.stdout.write(`${failedRuns === 0 ? 'no guarantee violated' : `${failedRuns} runs violated a guarantee`}\n`);
process.exit(failedRuns === 0 ? 0 : 1);
