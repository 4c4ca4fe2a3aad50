import {
	cp, mkdir, mkdtemp, rm, writeFile,
} from 'node:fs/promises';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {ManagedProcess} from '../managed-process.js';
import {type ReservedSubnet, reserveLoopbackSubnet} from './reserve-loopback-subnet.js';
import {startAll} from './start-all.js';

/** Options of `PlatformDeployment`. */
export type PlatformDeploymentOptions = {
	/** The number of control instances; 3 by default. */
	readonly controlCount?: number;
	/** The number of entry instances; 2 by default. */
	readonly entryCount?: number;
	/** Returns the availability zone of an entry instance, by its position; all are in `hall-a` by default. */
	readonly entryZone?: (index: number) => string;
	/** The time within which a revoked key must stop working, in milliseconds; 5000 by default. */
	readonly revocationMilliseconds?: number;
	/** Whether the instances open a metrics port; false by default. */
	readonly hasMetrics?: boolean;
	/** Additional fields of the settings files; none by default. */
	readonly settings?: Readonly<Record<string, unknown>>;
	/** Additional environment variables of each process; none by default. */
	readonly environment?: (instance: {readonly ip: string; readonly folder: string}) => Readonly<Record<string, string>>;
};

/** An instance of the deployment, which is one process. */
export type PlatformInstance = {
	readonly name: string;
	readonly ip: string;
	/** The data folder; empty on entry instances. */
	readonly folder: string;
	readonly process: ManagedProcess;
	/** The address for callers on an entry instance, or for operators and backend servers on a control instance. */
	readonly address: string;
	/** The address of the readiness check; the same as `address` on control instances. */
	readonly readinessAddress: string;
	/** Rewrites the settings file, as the platform does before each start. */
	readonly writeSettings: (changes: {readonly isFounding: boolean; readonly seeds?: readonly string[]}) => Promise<void>;
	/** Deletes the settings file, as happens while it is being replaced. */
	readonly removeSettings: () => Promise<void>;
};

/** The ports of all instances. */
export const ports = {
	callers: 8227, readiness: 8220, control: 8229, peers: 7340, lastPeers: 7355, metrics: 9464,
} as const;
/** The availability zone of the control instances. */
const firstZone = 'hall-a';
const program = createRequire(import.meta.url).resolve('@valehitch/platform').replace(/mod\.js$/v, 'bin/valehitch-platform.js');

/**
Runs the real programs as separate processes on loopback addresses, with settings files as the platform writes them.

@example
```ts
const deployment = await PlatformDeployment.start();
await deployment.stop();
```
*/
export class PlatformDeployment {
	/**
	Creates a deployment, starts all its processes and waits until they have loaded their programs.

	@param options The size and settings of the deployment.
	@returns The deployment.
	*/
	static async start(options: PlatformDeploymentOptions = {}): Promise<PlatformDeployment> {
		const deployment = await PlatformDeployment.prepare(options);
		await startAll(deployment.instances);
		return deployment;
	}

	/**
	Writes the settings files of all processes without starting the processes.

	@param options The size and settings of the deployment.
	@returns The deployment.
	*/
	static async prepare(options: PlatformDeploymentOptions = {}): Promise<PlatformDeployment> {
		const {controlCount = 3, entryCount = 2, entryZone = () => firstZone, environment = () => ({})} = options;
		const {revocationMilliseconds = 5000, hasMetrics = false, settings = {}} = options;
		const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-platform-'));
		// All instances use the same ports, so each deployment needs its own subnet.
		const network = await reserveLoopbackSubnet();
		const deployment = new PlatformDeployment(folder, network);
		const seeds = Array.from({length: Math.min(3, controlCount)}, (_, index) => `${network.prefix}.${index + 1}:${ports.control}`);
		for (let index = 0; index < controlCount + entryCount; index++) {
			const isControl = index < controlCount;
			const ip = `${network.prefix}.${index + 1}`;
			const instance = await deployment.#add({
				name: `${isControl ? 'core' : 'front'}-${index + 1}`,
				ip,
				isControl,
				zone: isControl ? firstZone : entryZone(index - controlCount),
				seeds,
				revocationMilliseconds,
				hasMetrics,
				settings,
				environment,
			});
			(isControl ? deployment.controls : deployment.entries).push(instance);
		}

		return deployment;
	}

	readonly controls: PlatformInstance[] = [];
	readonly entries: PlatformInstance[] = [];
	/** The folder that contains the settings, logs and data folders. */
	readonly #folder: string;
	readonly #network: ReservedSubnet;

	private constructor(folder: string, network: ReservedSubnet) {
		this.#folder = folder;
		this.#network = network;
	}

	/** All instances, the control instances first. */
	get instances(): readonly PlatformInstance[] {
		return [...this.controls, ...this.entries];
	}

	/**
	Kills all processes and deletes their files.

	@param options `logFolder`: where the logs are kept; by default they are deleted too.
	*/
	async stop({logFolder}: {readonly logFolder?: string | undefined} = {}): Promise<void> {
		await Promise.all(this.instances.map(async instance => instance.process.kill('SIGKILL')));
		if (logFolder !== undefined) {
			await cp(this.#folder, logFolder, {recursive: true, filter: file => file === this.#folder || file.endsWith('.log')});
		}

		await rm(this.#folder, {recursive: true, force: true});
		this.#network.release();
	}

	async #add({name, ip, isControl, zone, seeds, revocationMilliseconds, hasMetrics, settings, environment}: InstanceOptions): Promise<PlatformInstance> {
		const file = path.join(this.#folder, `${name}.yaml`);
		const dataFolder = path.join(this.#folder, name);
		await mkdir(dataFolder, {recursive: true});
		const writeSettings = async ({isFounding, seeds: newSeeds = seeds}: {readonly isFounding: boolean; readonly seeds?: readonly string[]}): Promise<void> => {
			await writeFile(file, JSON.stringify({
				node: name,
				role: name,
				ip,
				zone,
				listen: isControl ? {control: `${ip}:${ports.control}`} : {front: `${ip}:${ports.callers}`, ready: `${ip}:${ports.readiness}`},
				portRange: [ports.peers, ports.lastPeers],
				seeds: newSeeds,
				bootstrap: isFounding,
				dataDir: isControl ? dataFolder : null,
				heartbeatMs: 1200,
				bounds: {
					graceS: 5, revokeMs: revocationMilliseconds, canaryShare: 0.15, retryBudgetRatio: 0.9, sessionS: 5,
				},
				...settings,
			}));
		};

		await writeSettings({isFounding: true});
		const command = [program, ...(hasMetrics ? ['--metrics-port', String(ports.metrics)] : [])];
		return {
			name,
			ip,
			folder: dataFolder,
			process: new ManagedProcess({
				name, command, logFile: path.join(this.#folder, `${name}.log`), environment: {...environment({ip, folder: dataFolder}), VALEHITCH_CONFIG: file},
			}),
			address: `${ip}:${isControl ? ports.control : ports.callers}`,
			readinessAddress: `${ip}:${isControl ? ports.control : ports.readiness}`,
			writeSettings,
			removeSettings: async () => rm(file, {force: true}),
		};
	}
}

type InstanceOptions = {
	readonly name: string;
	readonly ip: string;
	readonly isControl: boolean;
	readonly zone: string;
	readonly seeds: readonly string[];
	readonly revocationMilliseconds: number;
	readonly hasMetrics: boolean;
	readonly settings: Readonly<Record<string, unknown>>;
	readonly environment: NonNullable<PlatformDeploymentOptions['environment']>;
};
