import {isPromptPart, type SuspectRecord} from '@valehitch/routing';
import test, {type ExecutionContext} from 'ava';
import {type CrashingServers} from './platform/crashing-servers.js';
import {draftHost} from './platform/draft-configuration.js';
import {sendForResponse, sendForStatus} from './platform/fake-backend-server.js';
import {type PlatformDeployment} from './platform/platform-deployment.js';
import {restartAll} from './platform/restart-all.js';
import {slowDiskEnvironment} from './platform/slow-disk.js';
import {startCrashingServers, type StartedCrashingServers} from './platform/start-crashing-servers.js';
import {waitUntil} from './wait-until.js';

const deadlyPath = '/drafts/deadly';
const serverCount = 8;
/** Milliseconds from the start of the deadly request to the server's exit, and from there to its restart as a new process. */
const exitDelayMilliseconds = 30;
const restartDelayMilliseconds = 400;
/** Number of server exits after which the request counts as identified. */
const identifyingExits = 3;
/** Milliseconds within which all instances must quarantine the request, and the number of sends still allowed afterwards. */
const windowMilliseconds = 3000;
const allowedSends = 3;
const saveMilliseconds = 300;
const slowSaveMilliseconds = 500;
/** Two saves of this length take longer than an instance delays its list for them. */
const verySlowSaveMilliseconds = 1500;

async function start(t: ExecutionContext, environment: Readonly<Record<string, string>> = {}): Promise<StartedCrashingServers> {
	const started = await startCrashingServers(t, {
		deployment: {entryCount: 3, environment: () => environment},
		servers: {
			count: serverCount, isFatal: ({path}) => path === deadlyPath, exitDelay: exitDelayMilliseconds, restartDelay: restartDelayMilliseconds,
			answer: {confidence: 90, events: ['one', 'two'], gap: 20},
		},
	});
	const {deployment} = started;
	await waitUntil(async () => {
		const answers = await Promise.all(deployment.entries.map(async (_, index) => sendDraft(deployment, {entry: index, path: '/drafts/first'})));
		return answers.every(({status}) => status === 200) || undefined;
	}, {description: 'a response of each entry instance'});
	return started;
}

let attempts = 0;

async function sendDraft({entries}: PlatformDeployment, {entry, path}: {readonly entry: number; readonly path: string}) {
	attempts++;
	return sendForResponse({
		method: 'POST', address: entries[entry % entries.length]!.address, path, body: {draft: path}, headers: {
			Host: draftHost, 'Attempt-Id': `a${attempts}`, 'Deadline-Ms': '8000', Authorization: 'Bearer k1', Model: '*', 'Token-Usage': '100,20', 'Prompt-Prefix': `1:50,${attempts}:50`,
		},
	});
}

async function listQuarantine(address: string): Promise<string> {
	const {text} = await sendForResponse({
		method: 'GET', address, path: '/-/quarantine', headers: {},
	});
	return text;
}

async function sleep(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** Counts the sends of the deadly request after the window that begins with the third server exit. */
function countLateSends({sends, exits}: CrashingServers): number {
	const identifiedAt = exits[identifyingExits - 1] ?? Number.POSITIVE_INFINITY;
	return sends.filter(at => at > identifiedAt + windowMilliseconds).length;
}

// The caller retries with a new request id at another instance each time.
test('a request that crashes every server it runs on is soon sent to none, whichever instance receives it', async t => {
	const {deployment, servers} = await start(t);
	const responses: Array<ReturnType<typeof sendDraft>> = [];
	for (let entry = 0; entry < 32; entry++) {
		responses.push(sendDraft(deployment, {entry, path: deadlyPath}));
		await sleep(250);
	}

	const answers = await Promise.all(responses);
	t.true(servers.exits.length >= identifyingExits);
	t.true(countLateSends(servers) <= allowedSends, `${countLateSends(servers)} late sends, ${servers.exits.length} servers exited, the caller got ${answers.map(({status}) => status).join(' ')}`);

	// The last responses fail with a status that neither says that the request did not run nor invites a retry.
	for (const {status, retryAfter} of answers.slice(-3)) {
		t.false([200, 408, 421, 429, 503].includes(status));
		t.is(retryAfter, undefined);
	}

	// All instances serve other requests again: each of twelve, but on a busy machine not necessarily at the first try.
	const exits = servers.exits.length;
	await Promise.all(Array.from({length: 12}, async (_, entry) => waitUntil(async () => {
		const {status, isComplete} = await sendDraft(deployment, {entry, path: `/drafts/${entry}`});
		return (status === 200 && isComplete) || undefined;
	}, {description: `a response to request ${entry}`})));
	t.is(servers.exits.length, exits);
});

test('a request sent in many concurrent copies stays quarantined when all processes restart, until an operator lifts the quarantine', async t => {
	const {deployment, servers} = await start(t);
	const copies = await sendCopies(deployment);
	t.true(copies.every(({status, isComplete}) => status !== 200 || !isComplete));
	await waitUntilListedByAll(deployment);
	// Saving starts when the request is listed, and takes two syncs.
	await sleep(saveMilliseconds);
	await restartAll(deployment, async entry => isServing(deployment, entry));
	const sends = servers.sends.length;
	const refused = await Promise.all(deployment.entries.map(async (_, entry) => sendDraft(deployment, {entry, path: deadlyPath})));
	t.deepEqual(refused.map(({status}) => status), [400, 400, 400]);
	t.is(servers.sends.length, sends);

	const fingerprint = /\((?<fingerprint>[\da-f]{32})\)/v.exec(refused[0]!.text)?.groups?.fingerprint;
	const {address} = (deployment.controls[1]!);
	// Entry instances serve requests once two control instances run; the third may still be starting.
	const listed = await waitUntil(async () => await listQuarantine(address) || undefined, {description: 'a list of the second control instance'});
	t.true(listed.includes(fingerprint!));
	t.is(await sendForStatus({method: 'DELETE', address, path: '/-/quarantine/other'}), 404);
	t.is(await sendForStatus({method: 'DELETE', address, path: `/-/quarantine/${fingerprint}`}), 200);
	await waitUntil(async () => {
		await sendDraft(deployment, {entry: 0, path: deadlyPath});
		return servers.sends.length > sends || undefined;
	}, {description: 'a send after the quarantine was lifted'});
});

// Guards against listing the quarantine as saved before any disk has saved the third exit.
test('a request that is listed as quarantined stays so when all processes restart, however slow their disks are', async t => {
	const {deployment, servers} = await start(t, slowDiskEnvironment({delayedFile: 'suspects.json', replaceMilliseconds: verySlowSaveMilliseconds}));
	await sendCopies(deployment);
	await waitUntilListedByAll(deployment);
	await restartAll(deployment, async entry => isServing(deployment, entry));
	const sends = servers.sends.length;
	const refused = await Promise.all(deployment.entries.map(async (_, entry) => sendDraft(deployment, {entry, path: deadlyPath})));
	t.deepEqual(refused.map(({status}) => status), [400, 400, 400]);
	t.is(servers.sends.length, sends);
});

// Guards against acknowledging the operator's request before the instance's disk has saved it.
test('a quarantine that an operator has lifted stays lifted when all processes restart', async t => {
	const {deployment, servers} = await start(t, slowDiskEnvironment({delayedFile: 'suspects.json', replaceMilliseconds: slowSaveMilliseconds}));
	await sendCopies(deployment);
	const [list] = await waitUntilListedByAll(deployment);
	const fingerprint = /[\da-f]{32}/v.exec(list!)?.[0];
	await sleep(3 * slowSaveMilliseconds);
	const {address} = deployment.controls[0]!;
	const {status, text} = await sendForResponse({
		method: 'DELETE', address, path: `/-/quarantine/${fingerprint}`, headers: {},
	});
	t.is(status, 200);
	if (!(JSON.parse(text) as {readonly isSaved: boolean}).isSaved) {
		await waitUntil(async () => parseList(await listQuarantine(address)).every(({isSaved}) => isSaved) || undefined, {description: 'the lifted quarantine to be saved'});
	}

	await restartAll(deployment, async entry => isServing(deployment, entry));
	const sends = servers.sends.length;
	t.true(await waitUntil(async () => {
		await sendDraft(deployment, {entry: 0, path: deadlyPath});
		return servers.sends.length > sends || undefined;
	}, {description: 'a send after the quarantine was lifted'}));
});

/** Sends many concurrent copies of the deadly request to all entry instances. */
async function sendCopies(deployment: PlatformDeployment) {
	return Promise.all(Array.from({length: 9}, async (_, entry) => sendDraft(deployment, {entry, path: deadlyPath})));
}

async function isServing(deployment: PlatformDeployment, entry: number): Promise<boolean> {
	const {status} = await sendDraft(deployment, {entry, path: `/drafts/after-${entry}`});
	return status === 200;
}

/** Waits until all control instances list a request as quarantined and saved, and returns their lists. */
async function waitUntilListedByAll(deployment: PlatformDeployment): Promise<readonly string[]> {
	return waitUntil(async () => {
		const lists = await Promise.all(deployment.controls.map(async ({address}) => listQuarantine(address)));
		return lists.every(list => listsQuarantined(list)) ? lists : undefined;
	}, {description: 'all control instances to list a quarantined request'});
}

/** Checks whether a list contains a saved request with the exits of a quarantined one; unsaved ones and those with fewer exits are listed too. */
function listsQuarantined(list: string): boolean {
	return parseList(list).some(({fingerprint, isSaved, ends}) => !isPromptPart(fingerprint) && isSaved && ends.filter(({isCleared}) => !isCleared).length >= identifyingExits);
}

type ListedRecord = SuspectRecord & {readonly isSaved: boolean};

function parseList(list: string): readonly ListedRecord[] {
	return (JSON.parse(list) as {readonly requests: readonly ListedRecord[]}).requests;
}
