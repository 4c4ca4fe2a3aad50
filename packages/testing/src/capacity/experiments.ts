import {setTimeout as delay} from 'node:timers/promises';
import {
	type BackendPlan, type DaemonPlan, type Deployment, startDeployment,
} from '../deployment.js';
import {deploymentKeys, digestOf} from '../_settings-file.js';
import {startAnnouncer} from '../announcer.js';
import {requestChatStream} from '../http-client.js';
import {sendRequest} from '../send-request.js';
import {waitUntil} from '../wait-until.js';
import {measureUsage} from './_measure-usage.js';
import {type Series, type SizedMeasurement, toSeries} from './series.js';

/** Options of an experiment. */
export type ExperimentOptions = {
	/** The duration of each measurement. */
	readonly seconds: number;
	/** The sizes to measure at; those of the experiment by default. */
	readonly sizes?: readonly number[];
	/** Receives progress messages. */
	readonly reportProgress: (line: string) => void;
};

const workspaceKey = 'capacity-key';
const zones = ['zone-a', 'zone-b', 'zone-c'] as const;
const settleMilliseconds = 1500;
const serverSizes = [0, 150, 300, 600] as const;
const requestSizes = [0, 50, 100, 200] as const;
const daemonSizes = [3, 7, 14, 28] as const;
const tokenMilliseconds = 100;
const answerTokens = 600;
const startTimeoutMilliseconds = 60_000;
const controlDaemons = 3;

const configuration = {
	models: {small: {versions: {v1: {state: 'settled', quality: 0.9, prices: {input: 1, output: 1}}}}},
	workspaces: {
		desk: {
			keyDigests: [digestOf(workspaceKey)],
			allowed: {small: ['v1']},
			policy: [{
				name: 'any', models: ['small'], qualityTarget: 0.5, deadlineMilliseconds: 600_000,
			}],
		},
	},
};

const engine: BackendPlan = {
	server: 'engine-1', zone: zones[0], models: ['small@v1'], capacity: 1000,
};

/**
Measures how the usage of one daemon grows with the number of backend servers that announce themselves to it every second.

@param options The duration and the sizes.
@returns Memory, processor time and traffic per known server.
@example
```ts
await measureServers({seconds: 5, reportProgress: console.log});
```
*/
export async function measureServers(options: ExperimentOptions): Promise<readonly Series[]> {
	return measureSingleDaemon(options.sizes ?? serverSizes, {...options, per: 'known server that renews each second', load: announceServers});
}

/**
Measures how the usage of one daemon grows with the number of concurrent streams of ten tokens per second.

@param options The duration and the sizes.
@returns Memory and processor time per stream in progress.
@example
```ts
await measureRequests({seconds: 5, reportProgress: console.log});
```
*/
export async function measureRequests(options: ExperimentOptions): Promise<readonly Series[]> {
	return measureSingleDaemon(options.sizes ?? requestSizes, {...options, per: 'stream in progress at 10 tokens/s', load: startStreams});
}

/**
Measures how the usage of an idle daemon grows with the number of daemons, while 13 engines renew their announcements every second.

@param options The duration and the sizes.
@returns Mean memory, processor time and traffic of a daemon, per daemon in the deployment.
@example
```ts
await measureDaemons({seconds: 5, reportProgress: console.log});
```
*/
export async function measureDaemons(options: ExperimentOptions): Promise<readonly Series[]> {
	const {seconds, reportProgress, sizes = daemonSizes} = options;
	const measured: SizedMeasurement[] = [];
	for (const size of sizes) {
		reportProgress(`${size} daemons`);
		const deployment = await start(daemonPlans(size));
		try {
			const stop = await announceServers(deployment, 13);
			await delay(settleMilliseconds);
			measured.push({size, quantities: await measureUsage({deployment, seconds})});
			await stop();
		} finally {
			await deployment.stop();
		}
	}

	return toSeries('daemon', measured);
}

type SingleDaemonOptions = ExperimentOptions & {
	readonly per: string;
	/** Applies load to the deployment and returns a function that removes it. */
	readonly load: (deployment: Deployment, size: number) => Promise<() => Promise<void>>;
};

async function measureSingleDaemon(sizes: readonly number[], {per, load, seconds, reportProgress}: SingleDaemonOptions): Promise<readonly Series[]> {
	const measured: SizedMeasurement[] = [];
	for (const size of sizes) {
		reportProgress(`${size} × ${per}`);
		const deployment = await start(daemonPlans(1));
		try {
			const stop = await load(deployment, size);
			await delay(settleMilliseconds);
			measured.push({size, quantities: await measureUsage({deployment, seconds})});
			await stop();
		} finally {
			await deployment.stop();
		}
	}

	return toSeries(per, measured);
}

async function start(daemons: readonly DaemonPlan[]): Promise<Deployment> {
	return startDeployment({
		daemons, backends: [engine], configuration, startTimeoutMilliseconds,
	});
}

function daemonPlans(count: number): readonly DaemonPlan[] {
	return Array.from({length: count}, (_, index) => ({
		instance: `daemon-${index + 1}`,
		zone: zones[index % zones.length] ?? zones[0],
		roles: count === 1 || index < controlDaemons ? ['control', 'entry'] : ['entry'],
	}));
}

async function announceServers(deployment: Deployment, count: number): Promise<() => Promise<void>> {
	const addresses = deployment.daemons.map(({ports}) => `http://127.0.0.1:${ports.backends}`);
	const announcers = Array.from({length: count}, (_, index) => startAnnouncer({
		daemons: [addresses[index % addresses.length] ?? ''],
		key: deploymentKeys.backends,
		server: `announced-${index + 1}`,
		zone: zones[index % zones.length] ?? zones[0],
		address: `http://127.0.0.1:${index + 1}`,
		models: ['other-small@v1', 'other-large@v1'],
		capacity: 8,
		active: () => 0,
	}));
	await waitUntil(async () => {
		const statuses = await Promise.all(deployment.daemons.map(async daemon => deployment.status(daemon)));
		return statuses.every(({servers}) => servers.length > count) || undefined;
	}, {description: `${count} announced servers`, timeoutMilliseconds: startTimeoutMilliseconds});
	return async () => {
		await Promise.all(announcers.map(async announcer => announcer.stop()));
	};
}

async function startStreams(deployment: Deployment, count: number): Promise<() => Promise<void>> {
	const [daemon] = deployment.daemons;
	const [backend] = deployment.backends;
	await sendRequest(`${backend?.address ?? ''}/test/behaviour`, {method: 'POST', body: JSON.stringify({tokenMilliseconds, answerTokens})});
	const abort = new AbortController();
	const streams = Array.from({length: count}, async (_, index) => requestChatStream(daemon?.callers ?? '', {
		key: workspaceKey, messages: [{role: 'user', content: `Stream ${index}`}], signal: abort.signal, timeoutMilliseconds: startTimeoutMilliseconds,
	}));
	return async () => {
		abort.abort();
		await Promise.all(streams);
	};
}
