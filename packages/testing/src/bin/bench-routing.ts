#!/usr/bin/env node
import process from 'node:process';
import {benchAdmission} from '../_bench-admission.js';
import {benchHedge} from '../_bench-hedge.js';
import {benchRequestLifecycle} from '../_bench-request-lifecycle.js';
import {benchServerChoice} from '../_bench-server-choice.js';

const seed = Number(process.argv[2] ?? 20_261_202);
const benchmarks = {
	life: benchRequestLifecycle, admission: benchAdmission, server: benchServerChoice, hedge: benchHedge,
} as const;
process.stdout.write(`seed ${seed}, Node ${process.version}\n`);
for (const [name, runBenchmark] of Object.entries(benchmarks)) {
	if ((process.argv[3] ?? name) === name) {
		process.stdout.write(`${runBenchmark(seed).join('\n')}\n`);
	}
}
