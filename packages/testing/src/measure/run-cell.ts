import {setTimeout as delay} from 'node:timers/promises';
import {sendWithRetries, type CallerRecord} from './caller.js';
import {type Fault, readRuns, type RecordedRun} from './fault.js';
import {startRater, type RatingCount} from './rater.js';
import {type PlannedRequest} from './schedule.js';
import {type StartSystem, type System} from './system.js';
import {type Workload} from './workload.js';

/** One cell of the benchmark matrix: a system that runs a workload under a fault. */
export type Cell = {
	readonly workload: Workload;
	readonly fault: Fault;
	readonly requests: readonly PlannedRequest[];
	readonly seconds: number;
	readonly folder: string;
	readonly start: StartSystem;
};

/** The records that callers and backend servers made during a cell. */
export type CellRecords = {
	readonly system: string;
	readonly callers: readonly CallerRecord[];
	readonly runs: readonly RecordedRun[];
	readonly ratings: RatingCount;
};

const millisecondsPerSecond = 1000;
const drainMilliseconds = 500;

/**
Starts a system, sends the requests on schedule, injects the fault, and collects the records of callers and backend servers.

@param cell The system, the fault and the requests.
@returns The records.
@throws If the system does not start.
@example
```ts
const records = await runCell({workload, fault, requests, seconds: 10, folder, start: startNaive});
```
*/
export async function runCell(cell: Cell): Promise<CellRecords> {
	const system = await cell.start(cell.workload, cell.folder);
	try {
		return await observeCell(cell, system);
	} finally {
		await system.stop();
	}
}

async function observeCell(cell: Cell, system: System): Promise<CellRecords> {
	const {workload, requests} = cell;
	const runs: RecordedRun[] = [];
	const degradedVersions = new Set<string>();
	const rater = startRater(system, workload);
	const faultRun = runFault(cell, {
		system,
		workload,
		async saveRuns(backend) {
			runs.push(...await readRuns(backend));
		},
		degradeVersion(version) {
			degradedVersions.add(version);
		},
	});
	const entries = system.entries.map(({callers}) => callers);
	const callers = await Promise.all(requests.map(async request => {
		await delay(request.atMilliseconds);
		const record = await sendWithRetries(request, {workload, entries, isVersionDegraded: version => degradedVersions.has(version)});
		rater.rate(record);
		return record;
	}));
	await faultRun;
	rater.stop();
	await delay(drainMilliseconds);
	const recorded = await Promise.all(system.backends.map(async backend => readRuns(backend)));
	return {
		system: system.name, callers, runs: [...runs, ...recorded.flat()], ratings: rater.count,
	};
}

async function runFault({fault, seconds}: Cell, context: Parameters<Fault['inject']>[0]): Promise<void> {
	const thirdMilliseconds = seconds * millisecondsPerSecond / 3;
	await delay(thirdMilliseconds);
	await fault.inject(context);
	await delay(thirdMilliseconds);
	await fault.revert?.(context);
}
