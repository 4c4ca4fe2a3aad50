import * as z from 'zod';
import {sendRequest} from '../send-request.js';
import {type System, type SystemBackend} from './system.js';
import {type Workload} from './workload.js';

/** A fault that is injected after one third of a run. */
export type Fault = {
	readonly name: string;
	/** Injects the fault. */
	readonly inject: (stage: FaultContext) => Promise<void>;
	/** Reverts the fault after two thirds of the run; without this, the fault persists. */
	readonly revert?: (stage: FaultContext) => Promise<void>;
};

/** What a fault acts on. */
export type FaultContext = {
	readonly system: System;
	readonly workload: Workload;
	/** Saves the run records of a backend server before it is killed, since they are lost with its process. */
	readonly saveRuns: (backend: SystemBackend) => Promise<void>;
	/** Degrades the responses of a version from now on. */
	readonly degradeVersion: (version: string) => void;
};

/** A run of a request, as recorded by a fake engine or service. */
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

/** The faults to measure under; the first is a run without a fault. */
export const faults: readonly Fault[] = [
	{
		name: 'calm',
		async inject() {
			// No fault is injected.
		},
	},
	{
		name: 'engine-killed',
		async inject({system, workload, saveRuns}) {
			for (const engine of smallEngines(system, workload).slice(0, 1)) {
				await saveRuns(engine);
				await engine.process.kill('SIGKILL');
			}
		},
	},
	{
		name: 'engine-stalls',
		async inject({system, workload}) {
			for (const engine of smallEngines(system, workload).slice(0, 1)) {
				await sendRequest(`${engine.address}/test/behaviour`, {method: 'POST', body: JSON.stringify({...workload.speeds[workload.smallModel], stall: true})});
			}
		},
	},
	{
		name: 'version-bad',
		async inject({workload, degradeVersion}) {
			degradeVersion(workload.degradedVersion);
		},
	},
	{
		name: 'zone-cut',
		async inject({system}) {
			await system.cutZones([system.entries.at(-2)?.zone ?? '']);
		},
		async revert({system}) {
			await system.cutZones([]);
		},
	},
	{
		name: 'capacity-third',
		async inject({system, workload, saveRuns}) {
			const engines = smallEngines(system, workload);
			await Promise.all(engines.slice(Math.ceil(engines.length / 3)).map(async engine => {
				await saveRuns(engine);
				await engine.process.kill('SIGKILL');
			}));
		},
	},
	{
		name: 'entry-killed',
		async inject({system}) {
			await system.entries.at(-1)?.process.kill('SIGKILL');
		},
	},
];

/**
Reads the run records of a fake engine or service.

@param backend The engine or service.
@returns Its runs; empty if it does not respond.
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
