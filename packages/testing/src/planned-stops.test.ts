import {Agent} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import {type BackendProcess} from './platform/backend-process.js';
import {PlatformDeployment} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {routeKindsConfiguration, routeKindsHost} from './platform/route-kinds-configuration.js';
import {type LateBodyAnswer, sendLateBody} from './platform/send-late-body.js';
import {type KeptAnswer, sendOnConnection} from './platform/send-on-connection.js';
import {sendSteadily} from './platform/send-steadily.js';
import {cutServerLinks, serverCutEnvironment} from './platform/server-cut.js';
import {startBackendProcesses} from './platform/start-backend-processes.js';
import {waitUntil} from './wait-until.js';

const graceSeconds = 8;
const millisecondsPerSecond = 1000;
/** How long requests are sent before and after the signal, in milliseconds. */
const leadMilliseconds = 4000;
const sendingMilliseconds = 6000;
/** The time limits of plain requests, and of those that no server answers in time, in milliseconds. */
const plainMilliseconds = 5000;
const longMilliseconds = 20_000;
/** The time limit of requests that end before the instance does, in milliseconds. */
const shortMilliseconds = 2000;
/** How long requests are sent on kept connections after the signal, in seconds; the instance closes its connections after 7.3 s. */
const keptSeconds = 7;
const sendsPerSecond = 10;
const bodyDelays = [0, 700, 2200];
/** The requests that are sent in turn: streams that may be resumed or not, plain ones that may be repeated or not, and ones whose answer comes too late. */
const paths = ['/drafts/', '/look/', '/print/', '/once/', '/look/', '/print/', '/late/', '/late-print/'];
const ok = 200;
const notRun = 503;
const outcomeUnknown: ReadonlySet<number> = new Set([502, 504]);

type SentRequest = LateBodyAnswer & {readonly id: string; readonly path: string};

function configuration() {
	const kinds = routeKindsConfiguration({timeoutMs: plainMilliseconds, targetMs: 1000});
	const late = {
		host: routeKindsHost, timeoutMs: longMilliseconds, targetLatencyMs: longMilliseconds, maxAttempts: 3, public: true, service: 'late',
	};
	return {
		...kinds,
		routes: [
			...kinds.routes,
			{
				...late, name: 'late', pathPrefix: '/late/', kind: 'safe',
			},
			{
				...late, name: 'late-print', pathPrefix: '/late-print/', kind: 'unsafe',
			},
		],
		services: [...kinds.services, {name: 'late'}],
	};
}

async function start(t: ExecutionContext): Promise<{readonly deployment: PlatformDeployment; readonly backends: readonly BackendProcess[]}> {
	const bounds = {
		graceS: graceSeconds, revokeMs: 5000, canaryShare: 0.15, retryBudgetRatio: 0.9, sessionS: 5,
	};
	const deployment = await PlatformDeployment.start({controlCount: 1, entryCount: 2, settings: {bounds}});
	const stream = {confidence: 90, events: ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j'], gap: 400};
	const backends = await startBackendProcesses(t, {
		deployment,
		servers: [
			...['1', '2', '3', '4'].map(number => ({id: `models-${number}`, service: 'models', answer: stream})),
			...['1', '2'].map(number => ({id: `labels-${number}`, service: 'labels', answer: {firstEventDelay: 1000}})),
			{id: 'late-1', service: 'late', answer: {firstEventDelay: 2 * longMilliseconds}},
		],
	});
	await putConfiguration(deployment, configuration());
	return {deployment, backends};
}

function describeAnswer({path, status, isComplete, wholeAt, text}: SentRequest, signalAt: number): string {
	const sent = wholeAt === undefined ? 'never' : `at ${Math.round(wholeAt - signalAt)} ms`;
	return `${path} whole ${sent}: ${status}, ${isComplete ? 'complete' : 'cut'} ${text.slice(0, 200)}`;
}

test.serial('requests that come while an instance stops are answered or refused as not run, and none is cut', async t => {
	const {deployment, backends} = await start(t);
	const [{address, process: stopping}] = deployment.entries as unknown as readonly [PlatformDeployment['entries'][number]];
	const send = async (index: number, prefix = 'r'): Promise<SentRequest> => {
		const id = `${prefix}${index}`;
		const path = paths[index % paths.length]!;
		const answer = await sendLateBody({
			address,
			method: 'POST',
			path: `${path}${index}`,
			headers: {
				Host: routeKindsHost, 'Attempt-Id': id, 'Deadline-Ms': String(longMilliseconds),
				...((path === '/drafts/' || path === '/once/') && {Model: '*', 'Token-Usage': '100,20', 'Prompt-Prefix': '1:50,2:50'}),
			},
			body: 'print label 7',
			bodyDelay: bodyDelays[Math.floor(index / paths.length) % bodyDelays.length]!,
		});
		return {...answer, id, path};
	};

	await waitUntil(async () => {
		const answers = await Promise.all([0, 1, 2, 3].map(async index => send(index, 'first')));
		return answers.every(({status}) => status === ok) || undefined;
	}, {description: 'first answers'});
	let signalAt = Number.POSITIVE_INFINITY;
	const ended = new Promise(resolve => {
		setTimeout(resolve, leadMilliseconds);
	}).then(async () => {
		signalAt = performance.now();
		return stopping.stop(graceSeconds * millisecondsPerSecond);
	});
	const answers = await sendSteadily({perSecond: 16, duration: leadMilliseconds + sendingMilliseconds, send});
	const end = await ended;
	const runsByServer = await Promise.all(backends.map(async backend => backend.readRuns()));
	const ran = new Set(runsByServer.flat().map(({id}) => id));
	const isTrue = ({status, isComplete, id}: SentRequest, isLate: boolean): boolean => isComplete && (
		status === ok || (status === notRun && !ran.has(id)) || (!isLate && outcomeUnknown.has(status) && ran.has(id))
	);
	const read = answers.filter(({isConnected, wholeAt, status}) => isConnected && (wholeAt !== undefined || status > 0));
	const late = read.filter(({wholeAt = 0}) => wholeAt > signalAt);
	const count = (status: number): number => late.filter(answer => answer.status === status).length;
	t.log(`${read.length} requests, ${late.length} after the signal: ${count(ok)} served, ${count(notRun)} refused`);
	t.deepEqual(late.filter(answer => !isTrue(answer, true)).map(answer => describeAnswer(answer, signalAt)), []);
	t.deepEqual(read.filter(answer => !late.includes(answer) && !isTrue(answer, false)).map(answer => describeAnswer(answer, signalAt)), []);
	t.true(count(ok) > 0);
	t.true(count(notRun) > 0);
	t.is(end?.code, 0);
});

test.serial('requests on kept connections are answered or refused throughout a planned stop, and none is reset', async t => {
	const {deployment, backends} = await start(t);
	const [{address, process: stopping}] = deployment.entries as unknown as readonly [PlatformDeployment['entries'][number]];
	const connections = Array.from({length: 2 * keptSeconds * sendsPerSecond}, () => new Agent({keepAlive: true, maxSockets: 1}));
	t.teardown(() => {
		for (const connection of connections) {
			connection.destroy();
		}
	});
	const send = async (index: number, prefix: string): Promise<KeptAnswer & {readonly id: string}> => {
		const id = `${prefix}${index}`;
		// One of two requests may take until after the end of the stop, the other one may not.
		const timeLimit = index % 2 === 0 ? plainMilliseconds : shortMilliseconds;
		const answer = await sendOnConnection(connections[index]!, {
			address, method: 'POST', path: `/print/${index}`, headers: {Host: routeKindsHost, 'Attempt-Id': id, 'Deadline-Ms': String(timeLimit)}, body: 'label',
		});
		return {...answer, id};
	};

	await waitUntil(async () => {
		const first = await Promise.all([0, 1].map(async index => send(index, `first-${performance.now()}-`)));
		return first.every(({status}) => status === ok) || undefined;
	}, {description: 'first answers'});
	const opened = await Promise.all(connections.map(async (_, index) => send(index, 'opened-')));
	t.deepEqual(opened.filter(({status}) => status === 0), []);
	const ended = stopping.stop(graceSeconds * millisecondsPerSecond);
	const answers = await sendSteadily({perSecond: 2 * sendsPerSecond, duration: keptSeconds * millisecondsPerSecond, send: async index => send(index, 'kept-')});
	const end = await ended;
	const runsByServer = await Promise.all(backends.map(async backend => backend.readRuns()));
	const ran = new Set(runsByServer.flat().map(({id}) => id));
	const count = (status: number): number => answers.filter(answer => answer.status === status).length;
	t.log(`${answers.length} requests: ${count(ok)} served, ${count(notRun)} refused`);
	t.deepEqual(answers.filter(({status, isComplete, isReused, id}) => !isReused || !isComplete || !(status === ok || (status === notRun && !ran.has(id)))), []);
	t.deepEqual(answers.filter(({headers}) => headers.connection !== 'close'), []);
	t.true(count(ok) > 0);
	t.true(count(notRun) > 0);
	t.is(end?.code, 0);
});

test.serial('requests that an instance sends through another one are not cut when that one stops', async t => {
	const deployment = await PlatformDeployment.start({controlCount: 1, entryCount: 3, environment: instance => serverCutEnvironment(instance)});
	const backends = await startBackendProcesses(t, {
		deployment, servers: ['1', '2'].map(number => ({id: `labels-${number}`, service: 'labels', answer: {firstEventDelay: 700}})),
	});
	await putConfiguration(deployment, configuration());
	const [sender, stopping] = deployment.entries as unknown as readonly [PlatformDeployment['entries'][number], PlatformDeployment['entries'][number]];
	const send = async (index: number | string): Promise<LateBodyAnswer & {readonly id: string}> => {
		const id = `t${index}`;
		const answer = await sendLateBody({
			address: sender.address, method: 'POST', path: `/look/${index}`, headers: {Host: routeKindsHost, 'Attempt-Id': id, 'Deadline-Ms': String(plainMilliseconds)}, body: 'label', bodyDelay: 0,
		});
		return {...answer, id};
	};

	let attempts = 0;
	const waitUntilServed = async (description: string) => waitUntil(async () => {
		const {status} = await send(`first-${++attempts}`);
		return status === ok || undefined;
	}, {description});
	await waitUntilServed('a first answer');
	await cutServerLinks(sender, 'refused');
	await waitUntilServed('an answer through another instance');
	// Both of the other instances have connections to servers open for this one.
	const warm = await sendSteadily({perSecond: 20, duration: 2000, send: async index => send(`warm-${index}`)});
	const stopped = stopping.process.stop();
	const answers = await sendSteadily({perSecond: 20, duration: 6000, send});
	await stopped;
	const runsByServer = await Promise.all(backends.map(async backend => backend.readRuns()));
	const runs = runsByServer.flat().map(({id}) => id);
	t.log(`${answers.length} requests after the signal, ${warm.length} before`);
	t.deepEqual(answers.filter(({status, isComplete}) => status !== ok || !isComplete).map(({id, status, text}) => `${id}: ${status} ${text}`), []);
	t.deepEqual(answers.filter(({id}) => runs.filter(run => run === id).length !== 1).map(({id}) => id), []);
});
