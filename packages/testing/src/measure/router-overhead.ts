import {stat} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {type BackendPlan, type DaemonPlan} from '../deployment.js';
import {freePorts} from '../free-ports.js';
import {type CallResult, requestChatStream, requestChat} from '../http-client.js';
import {ManagedProcess} from '../managed-process.js';
import {readProcessUsage} from '../process-usage.js';
import {sendRequest} from '../send-request.js';
import {waitUntil} from '../wait-until.js';
import {
	startNaive, startValehitch, type System,
} from './system.js';
import {type Workload} from './workload.js';

/** The resources that a router uses per request. */
export type RouterOverhead = {
	readonly router: string;
	readonly form: 'whole' | 'streamed';
	/** Processor time of the router's process, in microseconds per request. */
	readonly cpuMicroseconds: number;
	/** Bytes that the process wrote to its log, per request. */
	readonly logBytes: number;
	/** The number of complete responses to `requests` requests. */
	readonly answered: number;
	readonly requests: number;
};

/** Options of `measureRouterOverhead`. */
export type RouterOverheadOptions = {
	readonly folder: string;
	readonly requests: number;
};

type Router = {
	readonly name: string;
	readonly address: string;
	readonly model: string;
	readonly process: ManagedProcess;
};

const concurrency = 8;
const zone = 'zone-a';
const passThroughScript = fileURLToPath(new URL('../bin/pass-through.js', import.meta.url));

/**
Measures the processor time and log volume per request of each router and, as a baseline, of a bare HTTP proxy, with one engine that responds immediately.

@param workload The workload; its daemons and backend servers are replaced by one of each.
@param options The output folder and the number of requests.
@returns The overhead of each router, for complete and for streamed responses.
@throws If a process does not start.
@example
```ts
await measureRouterOverhead(workload, {folder: 'measure-output/overhead', requests: 1000});
```
*/
export async function measureRouterOverhead(workload: Workload, {folder, requests}: RouterOverheadOptions): Promise<readonly RouterOverhead[]> {
	const daemons: readonly DaemonPlan[] = [{instance: 'alone', zone, roles: ['control', 'entry']}];
	const backends: readonly BackendPlan[] = [{
		server: 'engine', zone, models: [workload.degradedVersion], capacity: 100,
	}];
	const singleInstanceWorkload: Workload = {
		...workload, daemons, backends, speeds: {},
	};
	const costs: RouterOverhead[] = [];
	for (const start of [startNaive, startValehitch]) {
		const system = await start(singleInstanceWorkload, path.join(folder, start.name));
		try {
			if (start === startNaive) {
				costs.push(...await measurePassThrough(system, {workload, folder, requests}));
			}

			costs.push(...await measureRouter(routerOf(system), {workload, folder, requests}));
		} finally {
			await system.stop();
		}
	}

	return costs;
}

type MeasurementOptions = RouterOverheadOptions & {readonly workload: Workload};

async function measurePassThrough({backends: [engine]}: System, options: MeasurementOptions): Promise<readonly RouterOverhead[]> {
	const [port = 0] = await freePorts(1);
	const logFile = path.join(options.folder, 'pass-through.log');
	const managed = new ManagedProcess({name: 'pass-through', command: [passThroughScript, `--port=${port}`, `--to=${engine?.address ?? ''}`], logFile});
	const address = `http://127.0.0.1:${port}`;
	managed.start();
	try {
		await waitUntil(async () => {
			const {status} = await sendRequest(`${address}/test/runs`);
			return status === 200 || undefined;
		}, {description: 'the pass-through'});
		return await measureRouter({
			name: 'pass-through', address, model: options.workload.degradedVersion, process: managed,
		}, options);
	} finally {
		await managed.stop();
	}
}

function routerOf({name, entries: [entry]}: System): Router {
	if (entry === undefined) {
		throw new RangeError('The system has no entry instance');
	}

	return {
		name, address: entry.callers, model: 'auto', process: entry.process,
	};
}

async function measureRouter(router: Router, {workload, requests}: MeasurementOptions): Promise<readonly RouterOverhead[]> {
	const costs: RouterOverhead[] = [];
	for (const form of ['whole', 'streamed'] as const) {
		await sendRequests(router, {workload, form, requests});
		const before = await sampleOf(router);
		const answered = await sendRequests(router, {workload, form, requests});
		const after = await sampleOf(router);
		costs.push({
			router: router.name,
			form,
			cpuMicroseconds: (after.cpuMicroseconds - before.cpuMicroseconds) / requests,
			logBytes: (after.logBytes - before.logBytes) / requests,
			answered,
			requests,
		});
	}

	return costs;
}

async function sampleOf({process}: Router): Promise<{readonly cpuMicroseconds: number; readonly logBytes: number}> {
	const {cpuMicroseconds} = await readProcessUsage(process.pid ?? 0);
	const {size} = await stat(process.logFile);
	return {cpuMicroseconds, logBytes: size};
}

async function sendRequests({address, model}: Router, {workload, form, requests}: {readonly workload: Workload; readonly form: RouterOverhead['form']; readonly requests: number}): Promise<number> {
	const key = workload.workspaces[0]?.key ?? '';
	const requestClass = workload.kinds[0]?.class ?? '';
	const queue = Array.from({length: requests}, (_, index) => index).values();
	const chat = form === 'whole' ? requestChat : requestChatStream;
	const results: CallResult[] = [];
	const send = async (): Promise<void> => {
		for (const number of queue) {
			results.push(await chat(address, {
				key, model, messages: [{role: 'user', content: `Request ${number}`}], headers: {'Valehitch-Class': requestClass},
			}));
		}
	};

	await Promise.all(Array.from({length: concurrency}, send));
	return results.filter(({done}) => done).length;
}
