import {setTimeout as delay} from 'node:timers/promises';
import * as z from 'zod';
import {deploymentKeys} from './_settings-file.js';
import {startAnnouncer, type Announcer} from './announcer.js';
import {
	type DaemonPlan, type Deployment, type RunningDaemon, startDeployment,
} from './deployment.js';
import {callOperator} from './http-client.js';
import {waitUntil, type WaitOptions} from './wait-until.js';
import {trialConfiguration} from './_zone-trial.js';

/** Measurements for one deployment size; rates are per daemon and second. */
export type DistributionMeasurements = {
	readonly daemons: number;
	readonly engines: number;
	readonly seconds: number;
	readonly meanSentBytes: number;
	readonly meanReceivedBytes: number;
	/** Bytes sent and received per second by the daemon with the most traffic. */
	readonly largestBytes: number;
	readonly meanFrames: number;
	/** As a share of one core. */
	readonly meanCpu: number;
	readonly largestCpu: number;
	readonly meanResidentMegabytes: number;
	/** Milliseconds from sending each change until the last daemon had it, and until the leader reported it in force. */
	readonly heldMilliseconds: readonly number[];
	readonly inForceMilliseconds: readonly number[];
};

const statusSchema = z.looseObject({
	revision: z.number(),
	isolated: z.boolean(),
	inForce: z.object({complete: z.boolean()}),
	servers: z.array(z.unknown()),
	traffic: z.object({
		bytesSent: z.number(), bytesReceived: z.number(), framesSent: z.number(), framesReceived: z.number(),
	}),
	process: z.object({cpuMicroseconds: z.number(), residentBytes: z.number()}),
});
type Status = z.infer<typeof statusSchema>;

const zones = ['zone-a', 'zone-b', 'zone-c'];
const controlInstances = 3;
const enginesPerDaemon = 600 / 370;
const capacity = 16;
const settleMilliseconds = 10_000;
const changes = 5;
const waitOptions: Omit<WaitOptions, 'description'> = {timeoutMilliseconds: 120_000, intervalMilliseconds: 20};

/** Starts the given number of daemons, announces engines with changing loads, and measures the otherwise idle deployment. */
export async function measureDistribution(daemons: number, seconds: number): Promise<DistributionMeasurements> {
	const deployment = await startDeployment({
		daemons: planDaemons(daemons), backends: [], configuration: trialConfiguration('settled'), startTimeoutMilliseconds: 120_000, settings: {logging: {level: 'warn'}},
	});
	const engines = Math.round(daemons * enginesPerDaemon);
	const announcers = announceEngines(deployment, engines);
	try {
		await Promise.all(deployment.daemons.map(async daemon => waitUntilEnginesListed(daemon, engines)));
		await delay(settleMilliseconds);
		const before = await fetchAllStatuses(deployment);
		await delay(seconds * 1000);
		const after = await fetchAllStatuses(deployment);
		return {
			daemons, engines, seconds, ...ratesOf({before, after, seconds}), ...await measureChanges(deployment),
		};
	} finally {
		await Promise.all(announcers.map(async announcer => announcer.stop()));
		await deployment.stop();
	}
}

function planDaemons(count: number): DaemonPlan[] {
	return Array.from({length: count}, (_, index) => ({
		instance: `daemon-${index}`,
		zone: zones[index % zones.length] ?? '',
		roles: index < controlInstances ? ['control', 'entry'] as const : ['entry'] as const,
	}));
}

function announceEngines({daemons}: Deployment, count: number): Announcer[] {
	return Array.from({length: count}, (_, index) => {
		const daemon = daemons[index % daemons.length];
		let load = index;
		return startAnnouncer({
			daemons: [`http://127.0.0.1:${daemon?.ports.backends ?? 0}`],
			key: deploymentKeys.backends,
			server: `engine-${index}`,
			zone: daemon?.zone ?? '',
			address: 'http://127.0.0.1:9',
			models: ['steady@1.0', 'fresh@2.0'],
			capacity,
			// The load changes by more than one between consecutive reports.
			active() {
				load += 5;
				return load % capacity;
			},
		});
	});
}

async function waitUntilEnginesListed(daemon: RunningDaemon, engines: number): Promise<void> {
	await waitUntil(async () => {
		const {servers, isolated} = await fetchStatus(daemon);
		return servers.length === engines && !isolated ? true : undefined;
	}, {description: `${daemon.instance} to list ${engines} engines`, ...waitOptions});
}

async function fetchStatus(daemon: RunningDaemon): Promise<Status> {
	const {body} = await callOperator(`${daemon.operators}/v1/status`, {key: deploymentKeys.operators});
	return statusSchema.parse(body);
}

async function fetchAllStatuses({daemons}: Deployment): Promise<Status[]> {
	return Promise.all(daemons.map(async daemon => fetchStatus(daemon)));
}

type Samples = {readonly before: readonly Status[]; readonly after: readonly Status[]; readonly seconds: number};

function ratesOf({before, after, seconds}: Samples): Omit<DistributionMeasurements, 'daemons' | 'engines' | 'seconds' | 'heldMilliseconds' | 'inForceMilliseconds'> {
	const rate = (read: (status: Status) => number): number[] => after.map((status, index) => {
		const earlier = before[index];
		return earlier === undefined ? 0 : (read(status) - read(earlier)) / seconds;
	});
	const sent = rate(({traffic}) => traffic.bytesSent);
	const received = rate(({traffic}) => traffic.bytesReceived);
	const cpu = rate(({process}) => process.cpuMicroseconds / 1_000_000);
	return {
		meanSentBytes: mean(sent),
		meanReceivedBytes: mean(received),
		largestBytes: Math.max(...sent.map((bytes, index) => bytes + (received[index] ?? 0))),
		meanFrames: mean(rate(({traffic}) => traffic.framesSent + traffic.framesReceived)),
		meanCpu: mean(cpu),
		largestCpu: Math.max(...cpu),
		meanResidentMegabytes: mean(after.map(({process}) => process.residentBytes)) / 1_048_576,
	};
}

async function measureChanges(deployment: Deployment): Promise<Pick<DistributionMeasurements, 'heldMilliseconds' | 'inForceMilliseconds'>> {
	const heldMilliseconds: number[] = [];
	const inForceMilliseconds: number[] = [];
	let revision = 1;
	for (let change = 0; change < changes; change++) {
		const startedAt = performance.now();
		const next = await deployment.apply(trialConfiguration(change % 2 === 0 ? 'rolling-out' : 'settled'), {replaces: revision});
		revision = next;
		await Promise.all(deployment.daemons.map(async daemon => waitUntilReceived(daemon, next)));
		heldMilliseconds.push(performance.now() - startedAt);
		await waitUntilInForce(deployment);
		inForceMilliseconds.push(performance.now() - startedAt);
		await delay(1000);
	}

	return {heldMilliseconds, inForceMilliseconds};
}

async function waitUntilReceived(daemon: RunningDaemon, revision: number): Promise<void> {
	await waitUntil(async () => {
		const status = await fetchStatus(daemon);
		return status.revision >= revision || undefined;
	}, {description: `${daemon.instance} to have revision ${revision}`, ...waitOptions});
}

async function waitUntilInForce({daemons: [first]}: Deployment): Promise<void> {
	await waitUntil(async () => {
		const status = first === undefined ? undefined : await fetchStatus(first);
		return status?.inForce.complete === true || undefined;
	}, {description: 'the change to be in force', ...waitOptions});
}

function mean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}
