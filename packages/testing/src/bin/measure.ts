#!/usr/bin/env node
import {mkdir, rm, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {exitOnSignal} from '../exit-on-signal.js';
import {type Fault, faults} from '../measure/fault.js';
import {computeCellMetrics, type CellMetrics} from '../measure/cell-metrics.js';
import {measureRouterOverhead, type RouterOverhead} from '../measure/router-overhead.js';
import {type Comparison, formatComparison} from '../measure/report.js';
import {runCell} from '../measure/run-cell.js';
import {planRequests} from '../measure/schedule.js';
import {startNaive, type StartSystem, startValehitch} from '../measure/system.js';
import {type Workload} from '../measure/workload.js';
import {workloads} from '../measure/workloads.js';

const usageExitCode = 2;
const allNames = 'all';
const noFault = 'none';

exitOnSignal();
const {values: flags} = parseArgs({
	options: {
		workload: {type: 'string', default: allNames},
		fault: {type: 'string', default: allNames},
		seconds: {type: 'string', default: '12'},
		seed: {type: 'string', default: '1'},
		'own-cost-requests': {type: 'string', default: '1000'},
		folder: {type: 'string', default: 'measure-output'},
	},
});
const seconds = Number(flags.seconds);
const seed = Number(flags.seed);
const chosenWorkloads = workloads.filter(({name}) => flags.workload === allNames || flags.workload.split(',').includes(name));
const chosenFaults = faults.filter(({name}) => flags.fault === allNames || flags.fault.split(',').includes(name));
if (chosenWorkloads.length === 0 || (chosenFaults.length === 0 && flags.fault !== noFault) || !(seconds > 0) || !Number.isSafeInteger(seed)) {
	const names = [...workloads, ...faults].map(({name}) => name).join(', ');
	print(`invalid options: --workload ${flags.workload} --fault ${flags.fault} --seconds ${flags.seconds} --seed ${flags.seed}`);
	print(`--workload and --fault take comma-separated names of ${names}, or all; --fault also takes none; --seconds takes a positive number, --seed an integer`);
	process.exit(usageExitCode);
}

await rm(flags.folder, {recursive: true, force: true});
await mkdir(flags.folder, {recursive: true});
const ownCosts = await measureOverhead(chosenWorkloads);
const comparisons: Comparison[] = [];
for (const workload of chosenWorkloads) {
	for (const fault of chosenFaults) {
		const comparison = await compare(workload, fault);
		comparisons.push(comparison);
		await writeReport();
		for (const line of formatComparison(comparison)) {
			print(line);
		}

		print('');
	}
}

await writeReport();

async function measureOverhead([workload]: readonly Workload[]): Promise<readonly RouterOverhead[]> {
	const requests = Number(flags['own-cost-requests']);
	if (workload === undefined || requests === 0) {
		return [];
	}

	const costs = await measureRouterOverhead(workload, {folder: path.join(flags.folder, 'own-cost'), requests});
	for (const {router, form, cpuMicroseconds, logBytes, answered} of costs) {
		print(`${router}, ${form}: ${cpuMicroseconds.toFixed(0)} microseconds of processor time and ${logBytes.toFixed(0)} log bytes per request, ${answered} of ${requests} answered`);
	}

	print('');
	return costs;
}

async function compare(workload: Workload, fault: Fault): Promise<Comparison> {
	const naive = await measureSystem(workload, fault, startNaive);
	const valehitch = await measureSystem(workload, fault, startValehitch);
	return {
		workload: workload.name, fault: fault.name, naive, valehitch,
	};
}

async function measureSystem(workload: Workload, fault: Fault, start: StartSystem): Promise<CellMetrics> {
	const folder = path.join(flags.folder, `${workload.name}-${fault.name}-${start.name}`);
	const requests = planRequests(workload, {seconds, seed});
	const records = await runCell({
		workload, fault, requests, seconds, folder, start,
	});
	return computeCellMetrics(records, workload);
}

async function writeReport(): Promise<void> {
	const report = {
		node: process.version, seconds, seed, ownCosts, comparisons,
	};
	await writeFile(path.join(flags.folder, 'measure.json'), `${JSON.stringify(report, undefined, '\t')}\n`);
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}
