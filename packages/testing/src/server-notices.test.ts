import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {type FakeBackendServer, type FakeBackendServerOptions, sendForResponse} from './platform/fake-backend-server.js';
import {lookConfiguration} from './platform/look-configuration.js';
import {PlatformDeployment} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {startBackends} from './platform/start-backends.js';
import {waitUntil} from './wait-until.js';

/** The time after a server first named its limit from which the limit holds, in milliseconds. */
const connectivityMilliseconds = 3000;
/** The window over which arrivals are counted, in milliseconds. */
const windowMilliseconds = 4000;
/** How far the arrivals of a window may exceed the limit. */
const tolerance = {factor: 1.5, slack: 5};
const sendMilliseconds = 50;

type Started = {
	readonly deployment: PlatformDeployment;
	readonly backends: readonly FakeBackendServer[];
	/** Sends a request through each entry instance at a steady rate for a time in milliseconds, and returns their statuses. */
	readonly sendFor: (duration: number) => Promise<readonly number[]>;
};

/** Starts a deployment with servers of one service, and waits until it serves requests. */
async function start(t: ExecutionContext, servers: ReadonlyArray<Pick<FakeBackendServerOptions, 'id' | 'answer' | 'notices'>>): Promise<Started> {
	const deployment = await PlatformDeployment.start({entryCount: 3});
	const backends = await startBackends(t, {deployment, servers: servers.map(server => ({...server, service: 'labels'}))});
	await putConfiguration(deployment, lookConfiguration);
	let requests = 0;
	const look = async (address: string): Promise<number> => {
		requests++;
		const {status} = await sendForResponse({
			method: 'GET', address, path: '/look/7', headers: {Host: 'desk.example', 'Attempt-Id': `a${requests}`, 'Deadline-Ms': '2000'},
		});
		return status;
	};

	for (const {address} of deployment.entries) {
		await waitUntil(async () => await look(address) === 200 || undefined, {description: 'a first response'});
	}

	return {
		deployment,
		backends,
		async sendFor(duration) {
			const answers: Array<Promise<number>> = [];
			const endsAt = performance.now() + duration;
			while (performance.now() < endsAt) {
				answers.push(...deployment.entries.map(async ({address}) => look(address)));
				await delay(sendMilliseconds);
			}

			return Promise.all(answers);
		},
	};
}

/** Returns the largest number of arrivals in a window that ends after a time. */
function mostInWindow(arrivals: readonly number[], from: number): number {
	const counts = arrivals.filter(at => at > from).map(end => arrivals.filter(at => at > end - windowMilliseconds && at <= end).length);
	return Math.max(0, ...counts);
}

test('a server that names a rate limit gets no more than that from all instances together, is still used, and gets its full share once it names none', async t => {
	const requestsPerSecond = 1.7;
	let isLimited = true;
	const {backends: [limited, other], sendFor} = await start(t, [
		{id: 'i-limited', answer: () => ({}), notices: () => isLimited ? {'Server-Limit': String(requestsPerSecond)} : {}},
		{id: 'i-other', answer: () => ({})},
	]);
	const namedAt = limited!.arrivals[0] ?? performance.now();
	const statuses = await sendFor(connectivityMilliseconds + (2 * windowMilliseconds));
	const allowed = (tolerance.factor * requestsPerSecond * windowMilliseconds / 1000) + tolerance.slack;
	const most = mostInWindow(limited!.arrivals, namedAt + connectivityMilliseconds);
	t.true(most <= allowed, `${most} requests arrived within ${windowMilliseconds} ms, ${allowed} are allowed`);
	t.true(limited!.arrivals.some(at => at > performance.now() - windowMilliseconds));
	t.true(other!.arrivals.length > limited!.arrivals.length);
	t.deepEqual(new Set(statuses), new Set([200]));

	isLimited = false;
	const before = limited!.arrivals.length;
	await waitUntil(async () => {
		await sendFor(sendMilliseconds);
		return limited!.arrivals.length > before + 20 || undefined;
	}, {description: 'a server without a limit that is used like others'});
});

/** The pause that a server asks for, the time after the rejection from which it holds, and the requests that may still arrive in it. */
const pause = {milliseconds: 3000, graceMilliseconds: 500, allowed: 2};

test('a server that rejects a request and asks for a pause gets no more requests from that instance until the pause ends, and is used again after it', async t => {
	let isRejecting = true;
	const {backends: [rejecting, other], deployment, sendFor} = await start(t, [
		{id: 'i-rejecting', answer: () => ({isNotExecuted: isRejecting}), notices: () => isRejecting ? {'Retry-After': String(pause.milliseconds / 1000)} : {}},
		{id: 'i-other', answer: () => ({})},
	]);
	await waitUntil(async () => {
		await sendFor(sendMilliseconds);
		return rejecting!.arrivals.length >= deployment.entries.length || undefined;
	}, {description: 'a rejected request of each instance'});
	const rejectedAt = performance.now();
	const statuses = await sendFor(pause.milliseconds - pause.graceMilliseconds);
	const late = rejecting!.arrivals.filter(at => at > rejectedAt + pause.graceMilliseconds);
	const allowed = pause.allowed * deployment.entries.length;
	t.true(late.length <= allowed, `${late.length} requests arrived in the pause, ${allowed} are allowed`);
	t.deepEqual(new Set(statuses), new Set([200]));
	t.true(other!.runs.length > 0);

	isRejecting = false;
	const before = rejecting!.runs.length;
	await waitUntil(async () => {
		await sendFor(sendMilliseconds);
		return rejecting!.runs.length > before + 20 || undefined;
	}, {description: 'a server that is used again after its pause'});
});

/** The time after an answer that announces a shutdown from which no request may arrive, in milliseconds. */
const drainMilliseconds = 2000;

test('a server that announces its shutdown in its answers only gets no more requests, though it announces itself as ready', async t => {
	const {backends: [leaving, other], deployment, sendFor} = await start(t, [
		{id: 'i-leaving', answer: () => ({}), notices: () => ({'Server-Leaving': '1'})},
		{id: 'i-other', answer: () => ({})},
	]);
	await waitUntil(async () => {
		await sendFor(sendMilliseconds);
		return leaving!.arrivals.length >= deployment.entries.length || undefined;
	}, {description: 'a request of each instance'});
	await sendFor(drainMilliseconds);
	const before = leaving!.arrivals.length;
	const statuses = await sendFor(drainMilliseconds);
	t.is(leaving!.arrivals.length, before);
	t.deepEqual(new Set(statuses), new Set([200]));
	t.true(other!.arrivals.length > 0);
});
