import * as z from 'zod';
import {sendRequest} from '../send-request.js';
import {type System, type SystemBackend} from './system.js';
import {type Workload} from './workload.js';

/** What happens to a system a third into a run. */
export type Fault = {
	readonly name: string;
	/** Brings it about. */
	readonly begin: (stage: FaultStage) => Promise<void>;
	/** Ends it at two thirds; a fault without this stays. */
	readonly end?: (stage: FaultStage) => Promise<void>;
};

/** Where a fault happens. */
export type FaultStage = {
	readonly system: System;
	readonly workload: Workload;
	/** Keeps the runs of a back end that is about to be killed. */
	readonly keepRuns: (backend: SystemBackend) => Promise<void>;
	/** Makes answers of a version bad from now on. */
	readonly turnBad: (version: string) => void;
};

/** One run as a fake recorded it. */
export type RecordedRun = z.infer<typeof runSchema> & {readonly server: string};

const runSchema = z.looseObject({
	requestId: z.string(),
	attempt: z.string(),
	model: z.string().optional(),
	version: z.string().optional(),
	key: z.string().optional(),
	completed: z.boolean(),
	cancelled: z.boolean(),
});

/** Calm, and each fault that the brief names, by name. */
export const faults: readonly Fault[] = [
	{
		name: 'calm',
		async begin() {
			// Nothing happens.
		},
	},
	{
		name: 'engine-killed',
		async begin({system, workload, keepRuns}) {
			for (const engine of smallEngines(system, workload).slice(0, 1)) {
				await keepRuns(engine);
				await engine.process.kill('SIGKILL');
			}
		},
	},
	{
		name: 'engine-stalls',
		async begin({system, workload}) {
			for (const engine of smallEngines(system, workload).slice(0, 1)) {
				await sendRequest(`${engine.address}/test/behaviour`, {method: 'POST', body: JSON.stringify({...workload.speeds[workload.smallModel], stall: true})});
			}
		},
	},
	{
		name: 'version-bad',
		async begin({workload, turnBad}) {
			turnBad(workload.fragileVersion);
		},
	},
	{
		name: 'zone-cut',
		async begin({system}) {
			await system.cutZones([system.entries.at(-2)?.zone ?? '']);
		},
		async end({system}) {
			await system.cutZones([]);
		},
	},
	{
		name: 'capacity-third',
		async begin({system, workload, keepRuns}) {
			const engines = smallEngines(system, workload);
			await Promise.all(engines.slice(Math.ceil(engines.length / 3)).map(async engine => {
				await keepRuns(engine);
				await engine.process.kill('SIGKILL');
			}));
		},
	},
	{
		name: 'entry-killed',
		async begin({system}) {
			await system.entries.at(-1)?.process.kill('SIGKILL');
		},
	},
];

/**
Reads what a fake ran.

@param backend The engine or service.
@returns Its runs, or none where it does not answer.
@example
```ts
const runs = await readRuns(system.backends[0]);
```
*/
export async function readRuns({address, server}: SystemBackend): Promise<readonly RecordedRun[]> {
	try {
		const {body} = await sendRequest(`${address}/test/runs`);
		return z.array(runSchema).parse(JSON.parse(body)).map(run => ({...run, server}));
	} catch {
		return [];
	}
}

function smallEngines({backends}: System, {smallModel}: Workload): readonly SystemBackend[] {
	return backends.filter(({models}) => models?.some(version => version.startsWith(`${smallModel}@`)));
}
