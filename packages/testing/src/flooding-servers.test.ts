import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {sendForResponse} from './platform/fake-backend-server.js';
import {type Flood, FloodingServer} from './platform/flooding-server.js';
import {PlatformDeployment} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {startRepeatingCallers} from './platform/repeating-callers.js';
import {routeKindsConfiguration, routeKindsHost} from './platform/route-kinds-configuration.js';
import {startBackendProcesses} from './platform/start-backend-processes.js';
import {waitUntil} from './wait-until.js';

/** The number of callers of the faulty servers; more of them for measurements. */
const callers = Number(process.env.VALEHITCH_FLOOD_CALLERS ?? 40);
const memoryMb = 350;
const floodMilliseconds = 6000;
const sendMilliseconds = 100;
/** The time between an answer and the next request of a caller of the faulty servers. */
const pauseMilliseconds = 250;
const soundRequests = floodMilliseconds / sendMilliseconds;
const bounds = {
	graceS: 5, revokeMs: 5000, canaryShare: 0.15, retryBudgetRatio: 0.9, sessionS: 5,
};
const configuration = routeKindsConfiguration({timeoutMs: 6000, targetMs: 2000});
const soundRoute = {
	name: 'sound', host: routeKindsHost, pathPrefix: '/sound/', kind: 'safe', service: 'sound', timeoutMs: 6000, targetLatencyMs: 2000, maxAttempts: 2, public: true,
};

/** Returns the most resident memory that a process had so far, in MiB. */
async function peakMemory(pid: number): Promise<number> {
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	return Number(/^VmHWM:\s+(?<kilobytes>\d+) kB$/mv.exec(status)?.groups?.kilobytes) / 1024;
}

/** Starts an instance with three servers that flood and two of another service that are sound, and lets callers ask the former again and again while one asks the latter. */
async function flood(t: ExecutionContext, kind: Flood) {
	const deployment = await PlatformDeployment.start({entryCount: 1, settings: {limits: {memoryMb}, bounds}});
	const [entry] = deployment.entries;
	const isStream = kind === 'comments';
	await startBackendProcesses(t, {
		deployment, servers: [1, 2].map(index => ({id: `i-sound-${index}`, service: 'sound', answer: {events: ['sound']}})),
	});
	await putConfiguration(deployment, {...configuration, routes: [...configuration.routes, soundRoute], services: [...configuration.services, {name: 'sound'}]});
	let requests = 0;
	const sendSound = async () => {
		requests++;
		const startedAt = performance.now();
		const {status, isComplete} = await sendForResponse({
			method: 'GET', address: entry!.address, path: `/sound/${requests}`, headers: {Host: routeKindsHost, 'Attempt-Id': `s${requests}`, 'Deadline-Ms': '6000'}, timeout: 6500,
		});
		return {isServed: isComplete && status === 200, milliseconds: performance.now() - startedAt};
	};

	await waitUntil(async () => {
		const {isServed} = await sendSound();
		return isServed || undefined;
	}, {description: 'a first response'});
	for (let index = 0; index < 3; index++) {
		const server = await FloodingServer.start({
			id: `i-flood-${index}`, service: isStream ? 'models' : 'labels', flood: kind, control: deployment.controls[0]!.address,
		});
		t.teardown(() => {
			server.stop();
		});
	}

	await delay(1000);
	const stopCallers = await startRepeatingCallers({
		address: entry!.address, host: routeKindsHost, path: isStream ? '/drafts/' : '/look/', method: isStream ? 'POST' : 'GET',
		count: callers, requestsEach: 100, pause: pauseMilliseconds, timeout: 6500,
		headers: {'Deadline-Ms': '6000', ...(isStream && {Model: '*', 'Token-Usage': '100,20', 'Prompt-Prefix': 'p:100'})},
	});
	t.teardown(stopCallers);
	const sent: Array<ReturnType<typeof sendSound>> = [];
	for (let index = 0; index < soundRequests; index++) {
		sent.push(sendSound());
		await delay(sendMilliseconds);
	}

	const results = await Promise.all(sent);
	const memory = await peakMemory(entry!.process.pid!);
	const times = results.map(({milliseconds}) => milliseconds).toSorted((one, other) => one - other);
	const quantile = (share: number): number => Math.round(times[Math.floor(share * (times.length - 1))]!);
	const served = results.filter(({isServed}) => isServed).length;
	const log = await readFile(entry!.process.logFile, 'utf8');
	const sends = log.split('\n').filter(line => line.includes('request-dispatched') && line.includes('i-flood-')).length;
	t.log(`${kind}, ${callers} callers, ${sends} sends to the faulty servers in the log`);
	t.log(`${served} of ${results.length} served, p50 ${quantile(0.5)} ms, p99 ${quantile(0.99)} ms, most memory ${Math.round(memory)} MiB`);
	return {served, memory, sends};
}

for (const kind of ['body', 'rejection', 'comments', 'interim answers', 'answers'] as const) {
	test.serial(`servers that send ${kind} without end take neither the memory nor the time of an instance`, async t => {
		const {served, memory, sends} = await flood(t, kind);
		t.true(sends > 0);
		t.is(served, soundRequests);
		t.true(memory < memoryMb, `${memory} MiB`);
	});
}
