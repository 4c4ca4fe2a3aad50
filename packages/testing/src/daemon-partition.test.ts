import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {callerKeys, type EntryDeployment, startEntryDeployment} from './_entry-deployment.js';
import {callService, requestChatStream} from './http-client.js';
import {
	cutServerLinks, restoreServerLinks, serverCutEnvironment, type ServerCut,
} from './platform/server-cut.js';

const key = callerKeys.yard;
const cutEntry = 1;
/** The time after the beginning of a cut from which callers must be served as elsewhere, in milliseconds. */
const connectivityMilliseconds = 3000;
const measuredMilliseconds = 2000;
const sendMilliseconds = 100;

type Counts = {
	served: number;
	sent: number;
};

async function start(t: ExecutionContext): Promise<EntryDeployment> {
	return startEntryDeployment(t, {environment: ({folder, peerPorts}) => serverCutEnvironment({folder}, peerPorts)});
}

/** Sends streams and calls of a plain service through a daemon at a steady rate for a time in milliseconds. */
async function sendFor(duration: number, {callers, label}: {readonly callers: string; readonly label: string}): Promise<Counts> {
	const counts: Counts = {served: 0, sent: 0};
	const sent: Array<Promise<void>> = [];
	const count = async (isServed: Promise<boolean>): Promise<void> => {
		counts.sent++;
		const served = await isServed;
		counts.served += served ? 1 : 0;
	};

	const endsAt = performance.now() + duration;
	for (let round = 0; performance.now() < endsAt; round++) {
		const content = `coil-${label}-${round}`;
		sent.push(
			count(requestChatStream(callers, {key, messages: [{role: 'user', content}]}).then(({done}) => done)),
			count(callService(callers, {
				key, service: 'labels', path: '/lookup', body: content,
			}).then(({status}) => status === 200)),
			count(callService(callers, {
				key, service: 'labels', path: '/print', body: content, headers: {'Idempotency-Key': content},
			}).then(({status}) => status === 200)),
		);
		await delay(sendMilliseconds);
	}

	await Promise.all(sent);
	return counts;
}

for (const cut of ['refused', 'silent'] as const satisfies readonly ServerCut[]) {
	test.serial(`a daemon whose connections to all servers are ${cut}, which the others reach, serves its callers and runs nothing twice`, async t => {
		const entry = await start(t);
		const {callers} = entry.daemon(cutEntry);
		t.deepEqual(await sendFor(sendMilliseconds, {callers, label: 'before'}), {served: 3, sent: 3});
		await cutServerLinks(entry.daemon(cutEntry), cut);
		await sendFor(connectivityMilliseconds, {callers, label: 'early'});
		const {served, sent} = await sendFor(measuredMilliseconds, {callers, label: 'cut'});
		t.is(served, sent);
		const runs = await entry.runs('labels-1');
		const prints = runs.map(run => String(run.key)).filter(runKey => runKey !== '');
		t.is(new Set(prints).size, prints.length);
		await restoreServerLinks(entry.daemon(cutEntry));
		t.deepEqual(await sendFor(sendMilliseconds, {callers, label: 'after'}), {served: 3, sent: 3});
	});
}
