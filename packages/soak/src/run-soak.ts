import {setTimeout as elapsed} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	PlatformDeployment, type PlatformMember, seededRandom, waitUntil,
} from '@valehitch/testing';
import {findBrokenPromises} from './find-broken-promises.js';
import {inflictFault} from './inflict-fault.js';
import {type Fault, planFaults} from './plan-faults.js';
import {SoakCallers} from './soak-callers.js';
import {folderVariable, proxyPorts, selfVariable} from './soak-environment.js';
import {SoakNetwork} from './soak-network.js';
import {SoakOperator} from './soak-operator.js';
import {emptyRecord, type RequestKind, type SoakRecord} from './soak-record.js';
import {SoakServers} from './soak-servers.js';

/** One soak. */
export type RunSoakOptions = {
	readonly seed: number;
	/** Milliseconds of traffic with faults; 12,000 by default. */
	readonly length?: number;
	/** Milliseconds between two faults, on average; 500 by default. */
	readonly gap?: number;
	/** Control instances; 3 by default. */
	readonly controls?: number;
	/** Entry instances; 3 by default. */
	readonly entries?: number;
};

/** What came of a soak. */
export type SoakResult = {
	readonly faults: readonly Fault[];
	readonly record: SoakRecord;
	/** A line for each broken promise. */
	readonly broken: readonly string[];
};

const revocationMilliseconds = 2500;
/** Half a second beyond the bound: processes here share one machine, and the acknowledgement is noted when it arrives. */
const bounds = {revocation: revocationMilliseconds + 500, shutdown: 2500, configuration: 2000};
const readPauseMilliseconds = 250;
const recoveryMilliseconds = 20_000;
/** Where backend servers stand; each is told apart by its port. */
const serverHost = '127.0.0.2';
const kinds: readonly RequestKind[] = ['safe', 'unsafe', 'streaming'];
const successStatus = 200;
/** Spreads neighbouring seeds, whose first numbers would be alike. */
const seedFactor = 7919;

/**
Runs the real programs under traffic and faults from outside, and judges what was seen.

@param options The seed and the size.
@returns The faults, the record, and the broken promises.
@example
```ts
const {broken} = await runSoak({seed: 7});
```
*/
export async function runSoak({seed, length = 12_000, gap = 500, controls = 3, entries = 3}: RunSoakOptions): Promise<SoakResult> {
	const random = seededRandom(seed * seedFactor);
	const faults = planFaults({random, length, gap});
	const record = emptyRecord();
	const now = (): number => performance.now();
	const network = new SoakNetwork();
	const deployment = await PlatformDeployment.prepare({
		controls, entries, revocation: revocationMilliseconds, environment: ({ip, folder}) => ({
			NODE_OPTIONS: `--import ${fileURLToPath(new URL('preload/misbehave.js', import.meta.url))}`, [selfVariable]: ip, [folderVariable]: folder,
		}),
	});
	const addresses = deployment.controls.map(({address}) => address);
	const operator = new SoakOperator({record, now, controls: addresses});
	const servers = new SoakServers({
		network, record, now, controls: addresses, host: serverHost,
	});
	const callers = new SoakCallers({
		record, random, now, seed, entries: deployment.entries.map(({address}) => address), keys: () => operator.keys,
	});
	try {
		await protect(deployment.members, network);
		for (const {process} of deployment.members) {
			process.start();
		}

		await operator.change();
		await servers.start();
		await awaitService({callers, operator, entries: deployment.entries}, entry => {
			throw new Error(`Got no first answer of ${entry}, wanted one before the faults begin`);
		});
		callers.start();
		const readers = readAll({operator, controls: addresses, until: now() + length});
		const inflicted = inflictAll(faults, {
			deployment, network, servers, operator, serverHost, record,
		});
		// Faults end by themselves, but a change waits until it is acknowledged.
		await Promise.race([inflicted, elapsed(length + recoveryMilliseconds)]);
		await readers;
		if (!operator.isIdle) {
			record.unrecovered.push('an operator whose change was not acknowledged');
		}

		await operator.stop();
		await callers.stop();
		await awaitService({callers, operator, entries: deployment.entries}, entry => {
			record.unrecovered.push(entry);
		});
		record.finalVersion = await readLast(operator, addresses);
		record.ends.push(...deployment.members.filter(({process}) => !process.isRunning).map(member => describeEnd(member)));
	} finally {
		callers.close();
		servers.close();
		network.close();
		await deployment.stop();
	}

	return {faults, record, broken: findBrokenPromises(record, bounds)};
}

/** How a process that should run ended, so that a fault that still holds it down is told from an end of its own. */
function describeEnd({name, process: {lastEnd}}: PlatformMember): string {
	const {code, signal, runtime} = lastEnd ?? {};
	return `${name} does not run at the end: ended by ${signal ?? `code ${code ?? 'unknown'}`} after ${Math.round(runtime ?? 0)} ms`;
}

async function protect(members: readonly PlatformMember[], network: SoakNetwork): Promise<void> {
	for (const {ip} of members) {
		await network.protect({host: ip, port: proxyPorts.proxied, target: {host: ip, port: proxyPorts.peers}});
	}
}

/** All faults at their times; each ends by itself, so that they overlap. */
async function inflictAll(faults: readonly Fault[], options: Parameters<typeof inflictFault>[1]): Promise<void> {
	const start = performance.now();
	await Promise.all(faults.map(async fault => {
		await elapsed(Math.max(0, fault.at - (performance.now() - start)));
		await inflictFault(fault, options);
	}));
}

async function readAll({operator, controls, until}: {readonly operator: SoakOperator; readonly controls: readonly string[]; readonly until: number}): Promise<void> {
	await Promise.all(controls.map(async control => {
		while (performance.now() < until) {
			await operator.read(control);
			await elapsed(readPauseMilliseconds);
		}
	}));
}

type Service = {
	readonly callers: SoakCallers;
	readonly operator: SoakOperator;
	readonly entries: readonly PlatformMember[];
};

/** Waits until each entry instance serves each kind of request. */
async function awaitService({callers, operator, entries}: Service, onMissing: (entry: string) => void): Promise<void> {
	await Promise.all(entries.flatMap(({address, name}) => kinds.map(async kind => {
		try {
			await waitUntil(async () => {
				const status = await callers.send({kind, entry: address, key: operator.validKeys[0]!});
				return status === successStatus || undefined;
			}, {what: `${kind} at ${name}`, timeoutMilliseconds: recoveryMilliseconds, everyMilliseconds: 200});
		} catch (error) {
			onMissing(`${name} for ${kind}: ${error instanceof Error ? error.message : String(error)}`);
		}
	})));
}

async function readLast(operator: SoakOperator, controls: readonly string[]): Promise<number | undefined> {
	const end = performance.now() + recoveryMilliseconds;
	while (performance.now() < end) {
		for (const control of controls) {
			const version = await operator.read(control);
			if (version !== undefined) {
				return version;
			}
		}

		await elapsed(readPauseMilliseconds);
	}

	return undefined;
}
