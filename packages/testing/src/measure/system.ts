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

/** An instance that callers reach. */
export type SystemEntry = DaemonPlan & {
	readonly callers: string;
	/** Where ratings go; undefined for a router that takes none. */
	readonly ratings?: string;
	readonly process: ManagedProcess;
};

/** An engine or service behind a system. */
export type SystemBackend = BackendPlan & {
	readonly address: string;
	readonly process: ManagedProcess;
};

/** A router with its back ends, ready for requests. */
export type System = {
	readonly name: string;
	readonly entries: readonly SystemEntry[];
	readonly backends: readonly SystemBackend[];
	/** Separates zones from all others; an empty list heals every cut. */
	readonly cutZones: (zones: readonly string[]) => Promise<void>;
	readonly stop: () => Promise<void>;
};

/** Starts a system for a workload in a folder. */
export type StartSystem = (workload: Workload, folder: string) => Promise<System>;

const distribution = fileURLToPath(new URL('../', import.meta.url));
const startMilliseconds = 60_000;

/**
Starts valehitch for a workload.

@param workload The workload.
@param folder For settings, data and logs.
@returns The running system.
@throws Where a step of the start takes too long.
@example
```ts
const system = await startValehitch(workload, 'measure-output/calm');
```
*/
export async function startValehitch(workload: Workload, folder: string): Promise<System> {
	const cutFile = await prepareCuts(folder);
	const deployment = await startDeployment({...workload, folder, startMilliseconds});
	const entries = deployment.daemons.map(daemon => ({...daemon, ratings: `http://127.0.0.1:${daemon.ports.backends}/v1/ratings`}));
	const ports = deployment.daemons.flatMap(({ports, zone}) => Object.values(ports).map(port => [String(port), zone] as const));
	return ready({
		name: 'valehitch', workload, entries, backends: deployment.backends, cutFile, ports,
		async stop() {
			await deployment.stop();
		},
	});
}

/**
Starts the naive router in as many instances for a workload.

@param workload The workload.
@param folder For its plan and logs.
@returns The running system.
@throws Where a step of the start takes too long.
@example
```ts
const system = await startNaive(workload, 'measure-output/calm-naive');
```
*/
export async function startNaive(workload: Workload, folder: string): Promise<System> {
	const cutFile = await prepareCuts(folder);
	const ports = await freePorts(workload.daemons.length + workload.backends.length);
	const backends = workload.backends.map((plan, index) => {
		const port = ports[workload.daemons.length + index] ?? 0;
		const script = plan.service === undefined ? 'fake-engine.js' : 'fake-service.js';
		const flags = [`--port=${port}`, `--server=${plan.server}`, `--zone=${plan.zone}`, `--models=${(plan.models ?? []).join(',')}`];
		return {...plan, address: `http://127.0.0.1:${port}`, process: managed(plan.server, {folder, script, flags})};
	});
	const planFile = path.join(folder, 'plan.json');
	await writeFile(planFile, JSON.stringify({document: configurationSchema.parse(workload.configuration), servers: backends.map(({address, models, service}) => ({address, models, service}))}));
	const entries = workload.daemons.map((plan, index) => {
		const port = ports[index] ?? 0;
		const flags = [`--plan=${planFile}`, `--port=${port}`, `--zone=${plan.zone}`];
		return {...plan, callers: `http://127.0.0.1:${port}`, process: managed(plan.instance, {folder, script: 'naive-router.js', flags})};
	});
	const processes = [...entries, ...backends].map(part => part.process);
	for (const part of processes) {
		part.start();
	}

	return ready({
		name: 'naive', workload, entries, backends, cutFile, ports: entries.map(({callers, zone}) => [new URL(callers).port, zone] as const),
		async stop() {
			await Promise.all(processes.map(async part => part.stop()));
		},
	});
}

type Parts = Omit<System, 'cutZones'> & {
	readonly workload: Workload;
	readonly cutFile: string;
	/** The zone of each port of the entries. */
	readonly ports: ReadonlyArray<readonly [string, string]>;
};

async function ready({workload, cutFile, ports, ...system}: Parts): Promise<System> {
	const {entries, backends} = system;
	await Promise.all(entries.map(async ({callers}) => waitUntil(async () => {
		const {status} = await sendRequest(`${callers}/healthz`, {timeoutMilliseconds: 1000});
		return status === 200 || undefined;
	}, {what: callers, timeoutMilliseconds: startMilliseconds})));
	await Promise.all(backends.map(async ({address, models}) => waitUntil(async () => {
		const speed = workload.speeds[models?.[0]?.split('@')[0] ?? ''] ?? {firstTokenMilliseconds: 20};
		const {status} = await sendRequest(`${address}/test/behaviour`, {method: 'POST', body: JSON.stringify(speed)});
		return status === 200 || undefined;
	}, {what: address, timeoutMilliseconds: startMilliseconds})));
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

/** Has every process that starts from now on listen for cuts between zones. */
async function prepareCuts(folder: string): Promise<string> {
	await mkdir(folder, {recursive: true});
	const cutFile = path.resolve(folder, 'zone-cut.json');
	process.env[zoneCutVariable] = cutFile;
	process.env[nodeOptionsVariable] = `--import=${pathToFileURL(path.join(distribution, 'bin/zone-cut.js')).href}`;
	return cutFile;
}

const nodeOptionsVariable = 'NODE_OPTIONS';

function managed(name: string, {folder, script, flags}: {readonly folder: string; readonly script: string; readonly flags: readonly string[]}): ManagedProcess {
	return new ManagedProcess({name, command: [path.join(distribution, 'bin', script), ...flags], logFile: path.join(folder, `${name}.log`)});
}
