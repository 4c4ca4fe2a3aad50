import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {draftConfiguration, draftHost} from './platform/draft-configuration.js';
import {type FakeBackendServerOptions, sendForResponse} from './platform/fake-backend-server.js';
import {PlatformDeployment} from './platform/platform-deployment.js';
import {putConfiguration} from './platform/put-configuration.js';
import {startBackends} from './platform/start-backends.js';
import {waitUntil} from './wait-until.js';

/** The time from which requests must be served again after most connections went to another instance, in milliseconds. */
const windowMilliseconds = 3000;
/** The share of the requests served at the first attempt before, that must be served while one instance gets most connections. */
const servedShare = 0.75;
const quietMilliseconds = 5000;
const crowdMilliseconds = 8000;
const quietPerSecond = 24;
/** The share of the connections that one instance gets. */
const crowdShare = 0.85;
const bodyCharacters = 18_000;

type Crowd = {
	/** How many times as many requests come as before. */
	readonly factor: number;
	readonly servers: ReadonlyArray<Pick<FakeBackendServerOptions, 'id' | 'answer' | 'notices'>>;
};

let requests = 0;

async function sendDraft(address: string): Promise<boolean> {
	requests++;
	const {status, isComplete} = await sendForResponse({
		method: 'POST', address, path: `/drafts/${requests}`, body: {draft: 'x'.repeat(bodyCharacters)}, headers: {
			Host: draftHost, 'Attempt-Id': `a${requests}`, 'Deadline-Ms': '8000', Authorization: 'Bearer k1', Model: '*', 'Token-Usage': '9190,40',
			'Prompt-Prefix': `f${requests % 4}:2520,s${requests % 50}:3780,u${requests}:2890`,
		},
	});
	return status === 200 && isComplete;
}

/** Sends requests at a steady rate, each on a new connection, and returns the share that is served. */
async function serve(duration: number, {perSecond, chooseAddress}: {readonly perSecond: number; readonly chooseAddress: (index: number) => string}): Promise<number> {
	const answers: Array<Promise<boolean>> = [];
	const startedAt = performance.now();
	while (performance.now() < startedAt + duration) {
		answers.push(sendDraft(chooseAddress(answers.length)));
		const nextAt = startedAt + (answers.length * 1000 / perSecond);
		await delay(Math.max(0, nextAt - performance.now()));
	}

	const served = await Promise.all(answers);
	return served.filter(Boolean).length / served.length;
}

/** Sends most requests to one instance for some time, then to another. */
async function crowd(t: ExecutionContext, {factor, servers}: Crowd): Promise<void> {
	const deployment = await PlatformDeployment.start({entryCount: 4});
	const {entries} = deployment;
	await startBackends(t, {deployment, servers: servers.map(server => ({...server, service: 'models'}))});
	await putConfiguration(deployment, draftConfiguration);
	for (const {address} of entries) {
		await waitUntil(async () => await sendDraft(address) || undefined, {description: 'a first response'});
	}

	const before = await serve(quietMilliseconds, {perSecond: quietPerSecond, chooseAddress: index => entries[index % entries.length]!.address});
	for (const crowded of [0, 1]) {
		const options = {
			perSecond: factor * quietPerSecond,
			chooseAddress: (index: number) => entries[(index * crowdShare) % 1 < crowdShare ? crowded : (index + crowded) % entries.length]!.address,
		};
		const early = await serve(windowMilliseconds, options);
		const served = await serve(crowdMilliseconds - windowMilliseconds, options);
		t.log(`instance ${crowded}: ${early.toFixed(3)} served in the first ${windowMilliseconds} ms, then ${served.toFixed(3)}; ${before.toFixed(3)} before`);
		t.true(served >= servedShare * before);
	}
}

/** A stream of 340 ms. */
function answer() {
	return {
		confidence: 90, events: ['one', 'two', 'three'], firstEventDelay: 40, gap: 100,
	};
}

test('requests are served at the first attempt while one instance gets most new connections', async t => {
	await crowd(t, {factor: 6, servers: Array.from({length: 12}, (_, index) => ({id: `i-${index}`, answer}))});
});

test('requests are served at the first attempt while one instance gets most new connections, from servers that name limits', async t => {
	const requestsPerSecond = 12;
	await crowd(t, {
		factor: 4,
		servers: Array.from({length: 12}, (_, index) => ({id: `i-${index}`, answer, notices: () => ({'Server-Limit': String(requestsPerSecond)})})),
	});
});
