import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {deploymentKeys, type DaemonWithPorts, formatSettings} from './_settings-file.js';
import {
	type BackendPlan, type DaemonPlan, type DeploymentOptions, type RunningBackend, type RunningDaemon,
} from './deployment-plan.js';
import {freePorts} from './free-ports.js';
import {ManagedProcess} from './managed-process.js';

const portsPerDaemon = 4;
const defaultCapacity = 8;
const packageFolder = fileURLToPath(new URL('..', import.meta.url));
const workspaceDaemon = path.join(packageFolder, '../daemon/dist/bin/valehitchd.js');

/** Allocates free ports for each daemon. */
export async function allocateDaemonPorts(plans: readonly DaemonPlan[]): Promise<readonly DaemonWithPorts[]> {
	const ports = await freePorts(plans.length * portsPerDaemon);
	return plans.map((plan, index) => {
		const [callers = 0, backends = 0, operators = 0, peers = 0] = ports.slice(index * portsPerDaemon);
		return {
			...plan, ports: {
				callers, backends, operators, peers,
			},
		};
	});
}

type WriteDaemonOptions = {
	readonly placed: readonly DaemonWithPorts[];
	readonly folder: string;
	readonly options: DeploymentOptions;
};

type PlaceBackendsOptions = {
	readonly daemons: readonly RunningDaemon[];
	readonly folder: string;
	readonly plans: readonly BackendPlan[];
};

/** Writes a daemon's settings file and prepares its process. */
export async function prepareDaemon(daemon: DaemonWithPorts, {placed, folder, options}: WriteDaemonOptions): Promise<RunningDaemon> {
	const {instance, ports} = daemon;
	const file = path.join(folder, `${instance}.yaml`);
	await writeFile(file, formatSettings(daemon, {folder, daemons: placed, overrides: options.settings}));
	const daemonFolder = path.join(folder, `${instance}-environment`);
	await mkdir(daemonFolder, {recursive: true});
	return {
		...daemon,
		folder: daemonFolder,
		callers: `http://127.0.0.1:${ports.callers}`,
		operators: `http://127.0.0.1:${ports.operators}`,
		process: new ManagedProcess({
			name: instance,
			command: [options.daemonScript ?? workspaceDaemon, '--settings', file],
			logFile: path.join(folder, `${instance}.log`),
			environment: options.environment?.({folder: daemonFolder, peerPorts: placed.map(({ports: {peers}}) => peers)}) ?? {},
		}),
	};
}

/** Allocates a free port for each fake backend server and prepares its process. */
export async function prepareBackends({daemons, folder, plans}: PlaceBackendsOptions): Promise<readonly RunningBackend[]> {
	const ports = await freePorts(plans.length);
	const addresses = daemons.map(daemon => `http://127.0.0.1:${daemon.ports.backends}`);
	return plans.map((plan, index) => {
		const port = ports[index] ?? 0;
		// Each starts with a different daemon, so that announcements are spread.
		const start = index % Math.max(1, addresses.length);
		const announceTo = [...addresses.slice(start), ...addresses.slice(0, start)];
		return {
			...plan,
			address: `http://127.0.0.1:${port}`,
			process: new ManagedProcess({
				name: plan.server,
				command: backendCommand(plan, {port, announceTo}),
				logFile: path.join(folder, `${plan.server}.log`),
			}),
		};
	});
}

function backendCommand(plan: BackendPlan, {port, announceTo}: {readonly port: number; readonly announceTo: readonly string[]}): readonly string[] {
	const script = plan.service === undefined ? 'fake-engine.js' : 'fake-service.js';
	const flags = {
		port,
		server: plan.server,
		zone: plan.zone,
		announce: announceTo.join(','),
		key: deploymentKeys.backends,
		capacity: plan.capacity ?? defaultCapacity,
		...(plan.models && {models: plan.models.join(','), checksFencing: plan.checksFencing ?? true}),
		...(plan.service !== undefined && {service: plan.service}),
	};
	return [path.join(packageFolder, 'dist/bin', script), ...Object.entries(flags).map(([name, value]) => `--${name}=${value}`)];
}
