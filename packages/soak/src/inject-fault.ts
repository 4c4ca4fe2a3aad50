import {rm, writeFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import {catchesSignal, type PlatformDeployment, type PlatformInstance} from '@valehitch/testing';
import {match, P} from 'ts-pattern';
import {type Fault, type FaultKind} from './plan-faults.js';
import {type ServerCut} from './plan-server-cut.js';
import {faultFile} from './soak-environment.js';
import {type SoakNetwork} from './soak-network.js';
import {type SoakOperator} from './soak-operator.js';
import {type SoakRecord} from './soak-record.js';
import {type SoakServers} from './soak-servers.js';

/** The targets of faults. */
export type InjectFaultOptions = {
	readonly deployment: PlatformDeployment;
	readonly network: SoakNetwork;
	readonly servers: SoakServers;
	readonly operator: SoakOperator;
	/** The address of the backend servers. */
	readonly serverHost: string;
	readonly record: SoakRecord;
};

/** Faults after which a process may receive shared state later than the others. */
const disturbingFaults: ReadonlySet<FaultKind> = new Set(['kill', 'kill-all-controls', 'stop', 'pause', 'wipe', 'silence', 'silence-one-way', 'delay', 'reset', 'disk-full', 'disk-slow']);

const controlFaults: ReadonlySet<FaultKind> = new Set(['wipe', 'disk-full', 'disk-slow']);
const delayMilliseconds = 400;
/** The time within which a process has read its settings for the first time, with a margin for a busy machine. */
const startupMilliseconds = 2000;
/** How often to check whether a process handles the signal: short, so that the signal arrives early in its startup. */
const handlerPollMilliseconds = 2;

/**
Injects one fault and reverts it after its duration.

@param fault The fault.
@param options The possible targets.
@example
```ts
await injectFault(fault, {deployment, network, servers, operator, serverHost, record});
```
*/
export async function injectFault(fault: Fault, options: InjectFaultOptions): Promise<void> {
	const {kind, duration, pick} = fault;
	const {deployment, network, servers, operator, serverHost, record} = options;
	const instance = pickItem(deployment.instances, pick);
	const control = pickItem(deployment.controls, pick);
	const entry = pickItem(deployment.entries, pick);
	const from = performance.now();
	await match(kind)
		.with('kill', async () => killAndRestart([instance], duration))
		.with('kill-all-controls', async () => killAndRestart(deployment.controls, duration))
		.with('stop', async () => {
			await instance.process.kill('SIGTERM');
			await restart(instance);
		})
		.with('pause', async () => {
			instance.process.signal('SIGSTOP');
			await sleep(duration);
			instance.process.signal('SIGCONT');
		})
		.with('wipe', async () => {
			await control.process.kill('SIGKILL');
			await rm(control.folder, {recursive: true, force: true});
			await sleep(duration);
			await restart(control);
		})
		.with('silence', async () => disruptLinks(network, {links: [{from: instance.ip, to: undefined}, {from: undefined, to: instance.ip}], duration}))
		.with('silence-one-way', async () => disruptLinks(network, {links: [{from: instance.ip, to: undefined}], duration}))
		.with('server-silence', async () => disruptLinks(network, {links: [{from: serverHost, to: entry.ip}], duration}))
		.with('delay', async () => disruptLinks(network, {links: [{from: undefined, to: instance.ip}], duration, delay: delayMilliseconds}))
		.with('reset', () => {
			network.reset(instance.ip);
		})
		.with(P.union('disk-full', 'disk-slow'), async () => writeFaultFile(faultFile(control.folder, 'disk'), {text: kind === 'disk-full' ? 'full' : 'slow', duration}))
		.with('clock-step', async () => writeFaultFile(faultFile(instance.folder, 'clock'), {text: '', duration}))
		.with('settings', async () => {
			await instance.writeSettings({isFounding: false, seeds: [control.address]});
			await reloadSettings(instance);
			await sleep(duration);
			await instance.writeSettings({isFounding: false});
		})
		.with('settings-missing', async () => {
			if (instance.process.uptimeMilliseconds < startupMilliseconds) {
				// A process can't start without settings, and the platform guarantees that they exist at startup.
				return;
			}

			await instance.removeSettings();
			await reloadSettings(instance);
			await sleep(duration);
			await instance.writeSettings({isFounding: false});
		})
		.with('server-shutdown', async () => servers.shutDown(pick))
		.with('server-crash', async () => servers.crash(pick))
		.with('configuration', async () => operator.submitConfiguration())
		.with('revoke', async () => operator.revokeOldestKey())
		.exhaustive();
	if (disturbingFaults.has(kind)) {
		record.disturbances.push(...affectedInstances(fault, deployment).map(({ip}) => ({ip, from, to: performance.now()})));
	}
}

/**
Ends all processes at once, as a loss of power does, deletes the disk of one control instance, and starts all again.

@param wiped The control instance.
@param deployment The deployment.
@example
```ts
await losePowerAndDisk(deployment.controls[0]!, deployment);
```
*/
export async function losePowerAndDisk(wiped: PlatformInstance, {instances}: Pick<PlatformDeployment, 'instances'>): Promise<void> {
	await Promise.all(instances.map(async ({process}) => process.kill('SIGKILL')));
	await rm(wiped.folder, {recursive: true, force: true});
	await Promise.all(instances.map(async instance => restart(instance)));
}

/** Returns the processes that a fault affects. */
function affectedInstances({kind, pick}: Fault, {controls, instances}: PlatformDeployment): readonly PlatformInstance[] {
	if (kind === 'kill-all-controls') {
		return controls;
	}

	return [pickItem(controlFaults.has(kind) ? controls : instances, pick)];
}

/**
Lets entry instances open no connection to any backend server for a time; open ones go on.

@param cut The cut.
@param options The possible targets.
@example
```ts
await cutServerLinks({at: 0, duration: 5000, pick: 0.5, isOneSpared: true}, {deployment, record});
```
*/
export async function cutServerLinks({duration, pick, isOneSpared}: ServerCut, {deployment: {entries}, record}: Pick<InjectFaultOptions, 'deployment' | 'record'>): Promise<void> {
	const picked = pickItem(entries, pick);
	const cut = isOneSpared ? entries.filter(entry => entry !== picked) : [picked];
	const from = performance.now();
	await Promise.all(cut.map(async ({folder}) => writeFaultFile(faultFile(folder, 'links'), {text: '', duration})));
	record.serverCuts.push(...cut.map(({address}) => ({entry: address, from, to: performance.now()})));
}

async function writeFaultFile(file: string, {text, duration}: {readonly text: string; readonly duration: number}): Promise<void> {
	await writeFile(file, text);
	await sleep(duration);
	await rm(file, {force: true});
}

async function killAndRestart(instances: readonly PlatformInstance[], duration: number): Promise<void> {
	await Promise.all(instances.map(async ({process}) => process.kill('SIGKILL')));
	await sleep(duration);
	await Promise.all(instances.map(async instance => restart(instance)));
}

async function restart({process, writeSettings}: PlatformInstance): Promise<void> {
	await writeSettings({isFounding: false});
	process.start();
}

/**
Sends SIGHUP to a process, so that it reloads its settings, as soon as it has a handler for the signal.

While the runtime starts, before any code of the program runs, there is no handler and the signal terminates the process. At a load average of 45 on 8 cores, this lasted 0.5 to 0.7 s.
start-signals.test.ts checks that the program installs its handler before it loads anything else.
*/
async function reloadSettings({process}: PlatformInstance): Promise<void> {
	while (process.pid !== undefined && !(await catchesSignal(process.pid, 'SIGHUP'))) {
		await sleep(handlerPollMilliseconds);
	}

	process.signal('SIGHUP');
}

type LinkFault = {
	readonly links: ReadonlyArray<{readonly from: string | undefined; readonly to: string | undefined}>;
	readonly duration: number;
	readonly delay?: number;
};

async function disruptLinks(network: SoakNetwork, {links, duration, delay = 0}: LinkFault): Promise<void> {
	const removeRules = links.map(link => network.addLinkFault(link, {isSilent: delay === 0, delay}));
	await sleep(duration);
	for (const removeRule of removeRules) {
		removeRule();
	}
}

function pickItem<Item>(items: readonly Item[], pick: number): Item {
	return items[Math.floor(pick * items.length)]!;
}
