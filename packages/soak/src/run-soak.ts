import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {type RandomSource} from '@valehitch/core';
import {
	PlatformDeployment, type PlatformInstance, seededRandom, waitUntil,
} from '@valehitch/testing';
import {findViolations} from './find-violations.js';
import {cutServerLinks, injectFault, losePowerAndDisk} from './inject-fault.js';
import {type Fault, planFaults} from './plan-faults.js';
import {type PlannedNotice, planNotices} from './plan-notices.js';
import {planServerCut, type ServerCut} from './plan-server-cut.js';
import {SoakCallers} from './soak-callers.js';
import {
	addressVariable, dataFolderVariable, evacuatedZone, proxyPorts,
} from './soak-environment.js';
import {SoakNetwork} from './soak-network.js';
import {SoakOperator} from './soak-operator.js';
import {emptyRecord, type RequestKind, type SoakRecord} from './soak-record.js';
import {SoakServers} from './soak-servers.js';

/** The seed and the size of a soak. */
export type RunSoakOptions = {
	readonly seed: number;
	/** The duration of the traffic with faults, in milliseconds; 12,000 by default. */
	readonly length?: number;
	/** The mean time between two faults, in milliseconds; 500 by default. */
	readonly gap?: number;
	/** The number of control instances; 3 by default. */
	readonly controls?: number;
	/** The number of entry instances; 3 by default. */
	readonly entries?: number;
};

/** The result of a soak. */
export type SoakResult = {
	readonly faults: readonly Fault[];
	readonly record: SoakRecord;
	/** A line for each violated guarantee. */
	readonly violations: readonly string[];
};

const revocationMilliseconds = 2500;
/** The revocation limit has a margin of half a second, because all processes share one machine and an acknowledgement is recorded only when it arrives. */
const limits = {
	revocation: revocationMilliseconds + 500, shutdown: 2500, configuration: 2000, evacuation: 5000,
};
const pollIntervalMilliseconds = 250;
/** How long a zone is evacuated, as a share of the traffic with faults; longer than the limit that is checked. */
const evacuatedShare = 0.75;
const recoveryMilliseconds = 20_000;
/** The longest time from the last acknowledgement to the loss of all power. */
const maximumEndDelayMilliseconds = 400;
/** The address of all backend servers, which differ by port. */
const serverHost = '127.0.0.2';
const requestKinds: readonly RequestKind[] = ['safe', 'unsafe', 'streaming'];
const successStatus = 200;
/** Spreads adjacent seeds, because the random source would start with similar numbers. */
const seedMultiplier = 7919;

/**
Runs the real programs under traffic and injected faults, and checks the guarantees.

@param options The seed and the size.
@returns The faults, the observations and the violations.
@example
```ts
const {violations} = await runSoak({seed: 7});
```
*/
export async function runSoak({seed, length = 12_000, gap = 500, controls = 3, entries = 3}: RunSoakOptions): Promise<SoakResult> {
	const random = seededRandom(seed * seedMultiplier);
	const faults = planFaults({random, length, gap});
	const notices = planNotices({random: seededRandom((seed * seedMultiplier) + 1), length});
	const serverCut = planServerCut({random: seededRandom((seed * seedMultiplier) + 2), length});
	const record = emptyRecord();
	const now = (): number => performance.now();
	const network = new SoakNetwork();
	const deployment = await PlatformDeployment.prepare({
		controlCount: controls, entryCount: entries, revocationMilliseconds, environment: ({ip, folder}) => ({
			NODE_OPTIONS: `--import ${fileURLToPath(new URL('preload/inject-faults.js', import.meta.url))}`, [addressVariable]: ip, [dataFolderVariable]: folder,
		}),
	});
	const controlAddresses = deployment.controls.map(({address}) => address);
	const operator = new SoakOperator({record, now, controls: controlAddresses});
	const servers = new SoakServers({
		network, record, now, controls: controlAddresses, host: serverHost,
	});
	const callers = new SoakCallers({
		record, random, now, seed, entries: deployment.entries.map(({address}) => address), keys: () => operator.keys,
	});
	try {
		await addProxies(deployment.instances, network);
		for (const {process} of deployment.instances) {
			process.start();
		}

		await operator.submitConfiguration();
		await servers.start();
		await waitUntilServing({callers, operator, entries: deployment.entries}, entry => {
			throw new Error(`Expected a successful response from ${entry} before the faults start`);
		});
		callers.start();
		const evacuation = operator.evacuate(evacuatedZone, evacuatedShare * length);
		const polling = pollConfigurations({operator, controls: controlAddresses, until: now() + length});
		const stopNotices = giveNotices(notices, servers);
		const cutting = cutServerLinksAt(serverCut, {deployment, record});
		const injection = injectFaults(faults, {
			deployment, network, servers, operator, serverHost, record,
		});
		// Faults end after their durations, but a change of the configuration waits for its acknowledgement.
		await Promise.race([injection, sleep(length + recoveryMilliseconds)]);
		await polling;
		await cutting;
		stopNotices();
		await Promise.race([evacuation, sleep(recoveryMilliseconds)]);
		await callers.stop();
		await endWithLostPower({
			faults, random: seededRandom((seed * seedMultiplier) + 3), deployment, operator, record,
		});
		if (!operator.isIdle) {
			record.unrecovered.push('an operator whose change was not acknowledged');
		}

		await operator.stop();
		await waitUntilServing({callers, operator, entries: deployment.entries}, entry => {
			record.unrecovered.push(entry);
		});
		record.finalVersion = await readFinalVersion(operator, controlAddresses);
		record.unexpectedExits.push(...deployment.instances.filter(({process}) => !process.isRunning).map(instance => describeExit(instance)));
	} finally {
		callers.close();
		servers.close();
		network.close();
		await deployment.stop();
	}

	return {faults, record, violations: findViolations(record, limits)};
}

type EndOptions = {
	readonly faults: readonly Fault[];
	readonly random: RandomSource;
	readonly deployment: PlatformDeployment;
	readonly operator: SoakOperator;
	readonly record: SoakRecord;
};

/** Ends the faults with the loss of one disk and of all power, soon after a configuration was acknowledged. The disk is the one that was lost last, which may not have recovered its data yet. */
async function endWithLostPower({faults, random, deployment, operator, record}: EndOptions): Promise<void> {
	const {pick} = faults.findLast(({kind}) => kind === 'wipe') ?? {pick: random()};
	await Promise.race([operator.submitConfiguration(), sleep(recoveryMilliseconds)]);
	await sleep(random() * maximumEndDelayMilliseconds);
	const from = performance.now();
	await losePowerAndDisk(deployment.controls[Math.floor(pick * deployment.controls.length)]!, deployment);
	record.disturbances.push(...deployment.instances.map(({ip}) => ({ip, from, to: performance.now()})));
}

/** Describes the exit of a process that should be running. The signal distinguishes a process that a fault killed and has not restarted yet from one that exited by itself. */
function describeExit({name, process: {lastExit}}: PlatformInstance): string {
	const {code, signal, runMilliseconds} = lastExit ?? {};
	return `${name} is not running at the end: terminated by ${signal ?? `code ${code ?? 'unknown'}`} after ${Math.round(runMilliseconds ?? 0)} ms`;
}

async function addProxies(instances: readonly PlatformInstance[], network: SoakNetwork): Promise<void> {
	for (const {ip} of instances) {
		await network.addProxy({host: ip, port: proxyPorts.proxied, target: {host: ip, port: proxyPorts.peers}});
	}
}

async function cutServerLinksAt(cut: ServerCut, options: Parameters<typeof cutServerLinks>[1]): Promise<void> {
	await sleep(cut.at);
	await cutServerLinks(cut, options);
}

/** Lets servers give each notice at its time; returns a function that gives no further ones. */
function giveNotices(notices: readonly PlannedNotice[], servers: SoakServers): () => void {
	const timers = notices.map(planned => setTimeout(() => {
		servers.giveNotice(planned);
	}, planned.at));
	return () => {
		for (const timer of timers) {
			clearTimeout(timer);
		}
	};
}

/** Injects each fault at its time, without waiting for earlier ones to end, so that faults overlap. */
async function injectFaults(faults: readonly Fault[], options: Parameters<typeof injectFault>[1]): Promise<void> {
	const start = performance.now();
	await Promise.all(faults.map(async fault => {
		await sleep(Math.max(0, fault.at - (performance.now() - start)));
		await injectFault(fault, options);
	}));
}

async function pollConfigurations({operator, controls, until}: {readonly operator: SoakOperator; readonly controls: readonly string[]; readonly until: number}): Promise<void> {
	await Promise.all(controls.map(async control => {
		while (performance.now() < until) {
			await operator.readConfiguration(control);
			await sleep(pollIntervalMilliseconds);
		}
	}));
}

type ServiceCheckOptions = {
	readonly callers: SoakCallers;
	readonly operator: SoakOperator;
	readonly entries: readonly PlatformInstance[];
};

/** Waits until each entry instance serves each kind of request. */
async function waitUntilServing({callers, operator, entries}: ServiceCheckOptions, onTimeout: (entry: string) => void): Promise<void> {
	await Promise.all(entries.flatMap(({address, name}) => requestKinds.map(async kind => {
		try {
			await waitUntil(async () => {
				const status = await callers.send({kind, entry: address, key: operator.validKeys[0]!});
				return status === successStatus || undefined;
			}, {description: `${kind} at ${name}`, timeoutMilliseconds: recoveryMilliseconds, intervalMilliseconds: 200});
		} catch (error) {
			onTimeout(`${name} for ${kind}: ${error instanceof Error ? error.message : String(error)}`);
		}
	})));
}

async function readFinalVersion(operator: SoakOperator, controls: readonly string[]): Promise<number | undefined> {
	const end = performance.now() + recoveryMilliseconds;
	while (performance.now() < end) {
		for (const control of controls) {
			const version = await operator.readConfiguration(control);
			if (version !== undefined) {
				return version;
			}
		}

		await sleep(pollIntervalMilliseconds);
	}

	return undefined;
}
