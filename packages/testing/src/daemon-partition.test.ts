import {readFile} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {callerKeys, type EntryDeployment, startEntryDeployment} from './_entry-deployment.js';
import {callService, type CallResult, requestChatStream} from './http-client.js';
import {
	cutServerLinks, restoreServerLinks, serverCutEnvironment, type ServerCut,
} from './platform/server-cut.js';

const key = callerKeys.yard;
const cutEntry = 1;
/** The time after the beginning of a cut from which callers must be served as elsewhere, in milliseconds. */
const connectivityMilliseconds = 3000;
const measuredMilliseconds = 2000;
const sendMilliseconds = 100;

/** The requests that were sent, and for each that was not served why. */
type Outcome = {
	sent: number;
	readonly failures: string[];
};

async function start(t: ExecutionContext): Promise<EntryDeployment> {
	return startEntryDeployment(t, {environment: ({folder, peerPorts}) => serverCutEnvironment({folder}, peerPorts)});
}

/** Sends streams and calls of a plain service through a daemon at a steady rate for a time in milliseconds. */
async function sendFor(duration: number, {callers, label}: {readonly callers: string; readonly label: string}): Promise<Outcome> {
	const outcome: Outcome = {sent: 0, failures: []};
	const sent: Array<Promise<void>> = [];
	const record = async (kind: string, answer: Promise<CallResult>): Promise<void> => {
		outcome.sent++;
		const {status, done, problem, connectionError} = await answer;
		if (status !== 200 || !done) {
			outcome.failures.push(`${kind} ${label}: ${status} ${problem?.detail ?? connectionError ?? 'no problem details'}`);
		}
	};

	const endsAt = performance.now() + duration;
	for (let round = 0; performance.now() < endsAt; round++) {
		const content = `coil-${label}-${round}`;
		const call = {key, service: 'labels', body: content};
		sent.push(
			record('stream', requestChatStream(callers, {key, messages: [{role: 'user', content}]})),
			record('lookup', callService(callers, {...call, path: '/lookup'})),
			record('print', callService(callers, {...call, path: '/print', headers: {'Idempotency-Key': content}})),
		);
		await delay(sendMilliseconds);
	}

	await Promise.all(sent);
	return outcome;
}

/** Checks that all requests that are sent through the cut daemon for a time are served; its log lines about links tell why one was not. */
async function assertServed(t: ExecutionContext, {entry, duration, label}: {readonly entry: EntryDeployment; readonly duration: number; readonly label: string}): Promise<void> {
	const {callers, process: {logFile}} = entry.daemon(cutEntry);
	const {sent, failures} = await sendFor(duration, {callers, label});
	const log = await readFile(logFile, 'utf8');
	const lines = log.split('\n').filter(line => /backend server|reaches/v.test(line)).slice(-40);
	t.true(sent > 0);
	t.deepEqual(failures, [], lines.join('\n'));
}

for (const cut of ['refused', 'silent', 'open-kept'] as const satisfies readonly ServerCut[]) {
	test.serial(`a daemon that is cut off (${cut}) from all servers, which the others reach, serves its callers and runs nothing twice`, async t => {
		const entry = await start(t);
		const {callers} = entry.daemon(cutEntry);
		await assertServed(t, {entry, duration: sendMilliseconds, label: 'before'});
		await cutServerLinks(entry.daemon(cutEntry), cut);
		await sendFor(connectivityMilliseconds, {callers, label: 'early'});
		await assertServed(t, {entry, duration: measuredMilliseconds, label: 'cut'});
		const runs = await entry.runs('labels-1');
		const prints = runs.map(run => String(run.key)).filter(runKey => runKey !== '');
		t.is(new Set(prints).size, prints.length);
		await restoreServerLinks(entry.daemon(cutEntry));
		await assertServed(t, {entry, duration: sendMilliseconds, label: 'after'});
	});
}
