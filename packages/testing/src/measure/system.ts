import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath, pathToFileURL} from 'node:url';
import {configurationSchema} from '@valehitch/core';
import {type BackendPlan, type DaemonPlan, startDeployment} from '../deployment.js';
import {freePorts} from '../free-ports.js';
import {ManagedProcess} from '../managed-process.js';
import {sendRequest} from '../send-request.js';
import {waitUntil} from '../wait-until.js';
import {type Workload} from './workload.js';
import {zoneCutVariable} from './zone-cut-file.js';

/** An entry instance of the system under test. */
export type SystemEntry = DaemonPlan & {
	readonly callers: string;
	/** The URL for ratings; undefined for a router that accepts none. */
	readonly ratingsUrl?: string;
	readonly process: ManagedProcess;
};

/** A fake engine or service behind the system under test. */
export type SystemBackend = BackendPlan & {
	readonly address: string;
	readonly process: ManagedProcess;
};

/** A running router and its backend servers. */
export type System = {
	readonly name: string;
	readonly entries: readonly SystemEntry[];
	readonly backends: readonly SystemBackend[];
	/** Simulates a network partition between each of the zones and all others; an empty list removes it. */
	readonly cutZones: (zones: readonly string[]) => Promise<void>;
	readonly stop: () => Promise<void>;
};

/** Starts a system for a workload, with its files in a folder. */
export type StartSystem = (workload: Workload, folder: string) => Promise<System>;

const distFolder = fileURLToPath(new URL('../', import.meta.url));
const startTimeoutMilliseconds = 60_000;

/**
Starts valehitch for a workload.

@param workload The workload.
@param folder The folder for settings, data and logs.
@returns The running system.
@throws If a step of the startup times out.
@example
```ts
const system = await startValehitch(workload, 'measure-output/calm');
```
*/
export async function startValehitch(workload: Workload, folder: string): Promise<System> {
	const cutFile = await preloadZoneCut(folder);
	const deployment = await startDeployment({...workload, folder, startTimeoutMilliseconds});
	const entries = deployment.daemons.map((daemon): SystemEntry => ({...daemon, ratingsUrl: `http://127.0.0.1:${daemon.ports.backends}/v1/ratings`}));
	const ports = deployment.daemons.flatMap(({ports, zone}) => Object.values(ports).map(port => [String(port), zone] as const));
	return waitUntilReady({
		name: 'valehitch', workload, entries, backends: deployment.backends, cutFile, ports,
		async stop() {
			await deployment.stop();
		},
	});
}

/**
Starts the naive router for a workload, with as many instances as valehitch has.

@param workload The workload.
@param folder The folder for the plan and logs.
@returns The running system.
@throws If a step of the startup times out.
@example
```ts
const system = await startNaive(workload, 'measure-output/calm-naive');
```
*/
export async function startNaive(workload: Workload, folder: string): Promise<System> {
	const cutFile = await preloadZoneCut(folder);
	const ports = await freePorts(workload.daemons.length + workload.backends.length);
	const backends = workload.backends.map((plan, index) => {
		const port = ports[workload.daemons.length + index] ?? 0;
		const script = plan.service === undefined ? 'fake-engine.js' : 'fake-service.js';
		const flags = [`--port=${port}`, `--server=${plan.server}`, `--zone=${plan.zone}`, `--models=${(plan.models ?? []).join(',')}`];
		return {...plan, address: `http://127.0.0.1:${port}`, process: createProcess(plan.server, {folder, script, flags})};
	});
	const planFile = path.join(folder, 'plan.json');
	await writeFile(planFile, JSON.stringify({document: configurationSchema.parse(workload.configuration), servers: backends.map(({address, models, service}) => ({address, models, service}))}));
	const entries = workload.daemons.map((plan, index) => {
		const port = ports[index] ?? 0;
		const flags = [`--plan=${planFile}`, `--port=${port}`, `--zone=${plan.zone}`];
		return {...plan, callers: `http://127.0.0.1:${port}`, process: createProcess(plan.instance, {folder, script: 'naive-router.js', flags})};
	});
	const processes = [...entries, ...backends].map(part => part.process);
	for (const part of processes) {
		part.start();
	}

	return waitUntilReady({
		name: 'naive', workload, entries, backends, cutFile, ports: entries.map(({callers, zone}) => [new URL(callers).port, zone] as const),
		async stop() {
			await Promise.all(processes.map(async part => part.stop()));
		},
	});
}

type StartedSystem = Omit<System, 'cutZones'> & {
	readonly workload: Workload;
	readonly cutFile: string;
	/** Pairs of a port of an entry instance and its zone. */
	readonly ports: ReadonlyArray<readonly [string, string]>;
};

async function waitUntilReady({workload, cutFile, ports, ...system}: StartedSystem): Promise<System> {
	const {entries, backends} = system;
	await Promise.all(entries.map(async ({callers}) => waitUntil(async () => {
		const {status} = await sendRequest(`${callers}/healthz`, {timeoutMilliseconds: 1000});
		return status === 200 || undefined;
	}, {description: callers, timeoutMilliseconds: startTimeoutMilliseconds})));
	await Promise.all(backends.map(async ({address, models}) => waitUntil(async () => {
		const speed = workload.speeds[models?.[0]?.split('@')[0] ?? ''] ?? {firstTokenMilliseconds: 20};
		const {status} = await sendRequest(`${address}/test/behaviour`, {method: 'POST', body: JSON.stringify(speed)});
		return status === 200 || undefined;
	}, {description: address, timeoutMilliseconds: startTimeoutMilliseconds})));
	const zoneOfPort = Object.fromEntries([...ports, ...backends.map(({address, zone}) => [new URL(address).port, zone] as const)]);
	return {
		...system,
		async cutZones(cutZones) {
			await writeFile(cutFile, JSON.stringify({zoneOfPort, cutZones}));
			for (const part of [...entries, ...backends]) {
				part.process.signal('SIGUSR2');
			}
		},
	};
}

/** Makes every process that is started from now on load the simulation of zone partitions. */
async function preloadZoneCut(folder: string): Promise<string> {
	await mkdir(folder, {recursive: true});
	const cutFile = path.resolve(folder, 'zone-cut.json');
	process.env[zoneCutVariable] = cutFile;
	process.env[nodeOptionsVariable] = `--import=${pathToFileURL(path.join(distFolder, 'bin/zone-cut.js')).href}`;
	return cutFile;
}

const nodeOptionsVariable = 'NODE_OPTIONS';

function createProcess(name: string, {folder, script, flags}: {readonly folder: string; readonly script: string; readonly flags: readonly string[]}): ManagedProcess {
	return new ManagedProcess({name, command: [path.join(distFolder, 'bin', script), ...flags], logFile: path.join(folder, `${name}.log`)});
}
