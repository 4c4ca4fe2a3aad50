import {rm, writeFile} from 'node:fs/promises';
import {setTimeout as elapsed} from 'node:timers/promises';
import {catchesSignal, type PlatformDeployment, type PlatformMember} from '@valehitch/testing';
import {match, P} from 'ts-pattern';
import {type Fault, type FaultKind} from './plan-faults.js';
import {misbehaviourFile} from './soak-environment.js';
import {type SoakNetwork} from './soak-network.js';
import {type SoakOperator} from './soak-operator.js';
import {type SoakRecord} from './soak-record.js';
import {type SoakServers} from './soak-servers.js';

/** What faults strike. */
export type InflictFaultOptions = {
	readonly deployment: PlatformDeployment;
	readonly network: SoakNetwork;
	readonly servers: SoakServers;
	readonly operator: SoakOperator;
	/** The address of the backend servers. */
	readonly serverHost: string;
	readonly record: SoakRecord;
};

/** Faults after which a process may know late what the others know. */
const disturbing: ReadonlySet<FaultKind> = new Set(['kill', 'kill-all-controls', 'stop', 'pause', 'wipe', 'silence', 'silence-one-way', 'delay', 'reset', 'disk-full', 'disk-slow']);

const controlFaults: ReadonlySet<FaultKind> = new Set(['wipe', 'disk-full', 'disk-slow']);
const delayMilliseconds = 400;
/** The time in which a process reads its settings for the first time, with room for a busy machine. */
const startMilliseconds = 2000;
/** The time between two looks whether a process listens: short, so that the signal comes early in its start. */
const listenPollMilliseconds = 2;

/**
Inflicts one fault and heals it after its time.

@param fault The fault.
@param options What it strikes.
@example
```ts
await inflictFault(fault, {deployment, network, servers, operator, serverHost, record});
```
*/
export async function inflictFault(fault: Fault, options: InflictFaultOptions): Promise<void> {
	const {kind, duration, pick} = fault;
	const {deployment, network, servers, operator, serverHost, record} = options;
	const any = oneOf(deployment.members, pick);
	const control = oneOf(deployment.controls, pick);
	const entry = oneOf(deployment.entries, pick);
	const from = performance.now();
	await match(kind)
		.with('kill', async () => down([any], duration))
		.with('kill-all-controls', async () => down(deployment.controls, duration))
		.with('stop', async () => {
			await any.process.kill('SIGTERM');
			await startAgain(any);
		})
		.with('pause', async () => {
			any.process.signal('SIGSTOP');
			await elapsed(duration);
			any.process.signal('SIGCONT');
		})
		.with('wipe', async () => {
			await control.process.kill('SIGKILL');
			await rm(control.folder, {recursive: true, force: true});
			await elapsed(duration);
			await startAgain(control);
		})
		.with('silence', async () => harm(network, {links: [{from: any.ip, to: undefined}, {from: undefined, to: any.ip}], duration}))
		.with('silence-one-way', async () => harm(network, {links: [{from: any.ip, to: undefined}], duration}))
		.with('server-silence', async () => harm(network, {links: [{from: serverHost, to: entry.ip}], duration}))
		.with('delay', async () => harm(network, {links: [{from: undefined, to: any.ip}], duration, delay: delayMilliseconds}))
		.with('reset', () => {
			network.reset(any.ip);
		})
		.with(P.union('disk-full', 'disk-slow'), async () => misbehave(misbehaviourFile(control.folder, 'disk'), {text: kind === 'disk-full' ? 'full' : 'slow', duration}))
		.with('clock-step', async () => misbehave(misbehaviourFile(any.folder, 'clock'), {text: '', duration}))
		.with('settings', async () => {
			await any.writeSettings({isFounding: false, seeds: [control.address]});
			await reload(any);
			await elapsed(duration);
			await any.writeSettings({isFounding: false});
		})
		.with('settings-missing', async () => {
			if (any.process.runtime < startMilliseconds) {
				// A process cannot start without settings, and the platform sees to it that it has them.
				return;
			}

			await any.removeSettings();
			await reload(any);
			await elapsed(duration);
			await any.writeSettings({isFounding: false});
		})
		.with('server-shutdown', async () => servers.shutDown(pick))
		.with('server-crash', async () => servers.crash(pick))
		.with('configuration', async () => operator.change())
		.with('revoke', async () => operator.revoke())
		.exhaustive();
	if (disturbing.has(kind)) {
		record.disturbances.push(...struckBy(fault, deployment).map(({ip}) => ({ip, from, to: performance.now()})));
	}
}

/** The processes that a fault strikes. */
function struckBy({kind, pick}: Fault, {controls, members}: PlatformDeployment): readonly PlatformMember[] {
	if (kind === 'kill-all-controls') {
		return controls;
	}

	return [oneOf(controlFaults.has(kind) ? controls : members, pick)];
}

async function misbehave(file: string, {text, duration}: {readonly text: string; readonly duration: number}): Promise<void> {
	await writeFile(file, text);
	await elapsed(duration);
	await rm(file, {force: true});
}

async function down(members: readonly PlatformMember[], duration: number): Promise<void> {
	await Promise.all(members.map(async ({process}) => process.kill('SIGKILL')));
	await elapsed(duration);
	await Promise.all(members.map(async member => startAgain(member)));
}

async function startAgain({process, writeSettings}: PlatformMember): Promise<void> {
	await writeSettings({isFounding: false});
	process.start();
}

/**
Asks a process to read its settings again, as soon as it listens.

While the runtime itself starts, before any code of the program, no program can listen and the signal ends it; beside a load of 45 on 8 cores that lasted 0.5 to 0.7 s. That the program listens before it loads anything else is a test of its own (start-signals.test.ts).
*/
async function reload({process}: PlatformMember): Promise<void> {
	while (process.pid !== undefined && !(await catchesSignal(process.pid, 'SIGHUP'))) {
		await elapsed(listenPollMilliseconds);
	}

	process.signal('SIGHUP');
}

type Harm = {
	readonly links: ReadonlyArray<{readonly from: string | undefined; readonly to: string | undefined}>;
	readonly duration: number;
	readonly delay?: number;
};

async function harm(network: SoakNetwork, {links, duration, delay = 0}: Harm): Promise<void> {
	const heals = links.map(link => network.harm(link, {isSilent: delay === 0, delay}));
	await elapsed(duration);
	for (const heal of heals) {
		heal();
	}
}

function oneOf<Item>(items: readonly Item[], pick: number): Item {
	return items[Math.floor(pick * items.length)]!;
}
