import test, {type ExecutionContext} from 'ava';
import {type CrashingServers} from './platform/crashing-servers.js';
import {draftHost} from './platform/draft-configuration.js';
import {type ReceivedResponse, sendForResponse, sendForStatus} from './platform/fake-backend-server.js';
import {restartAll} from './platform/restart-all.js';
import {startCrashingServers, type StartedCrashingServers} from './platform/start-crashing-servers.js';
import {waitUntil} from './wait-until.js';

const entryCount = 4;
const serverCount = 8;
const fatalPart = 'bad';
/** Number of server exits after which the part counts as identified. */
const identifyingExits = 5;
/** Milliseconds within which all instances must know the part, and the number of requests with it that may reach servers afterwards. */
const windowMilliseconds = 3000;
const allowedSends = 3;
/** The share of the requests served at the first attempt before, that is served again from two windows after the identifying exit. */
const servedShare = 0.95;
const intervalMilliseconds = 30;
/** One in this many requests contains the fatal part. */
const fatalEvery = 6;
const quietMilliseconds = 2000;
const trafficMilliseconds = 11_000;
/** The least time for which requests are sent after the part is known, in milliseconds, however late servers exit. */
const judgedMilliseconds = 2000;

type Kind = 'fatal' | 'related' | 'unrelated';

type Sent = {
	readonly kind: Kind;
	readonly at: number;
	readonly answer: ReceivedResponse;
};

type DraftOptions = {
	readonly number: number;
	readonly key: string;
	readonly parts: readonly string[];
};

type TrafficOptions = {
	/** Returns the parts of the prompt of a fatal request about a subject, without the last one. */
	readonly fatalParts: (subject: string) => readonly string[];
	/** Called in place of sending fatal requests. */
	readonly onFatalStart?: (servers: CrashingServers) => Promise<void>;
};

type Played = {
	readonly servers: CrashingServers;
	readonly startedAt: number;
	readonly sent: readonly Sent[];
};

async function start(t: ExecutionContext): Promise<StartedCrashingServers> {
	const started = await startCrashingServers(t, {
		deployment: {entryCount},
		servers: {
			count: serverCount, isFatal: ({promptParts}) => promptParts.includes(fatalPart), exitDelay: 60, restartDelay: 2500, answer: {
				confidence: 90, events: ['one', 'two', 'three'], firstEventDelay: 40, gap: 100,
			},
		},
	});
	const {entries} = started.deployment;
	await waitUntil(async () => {
		const answers = await Promise.all(entries.map(async ({address}, index) => send(address, {number: -1 - index, key: 'k1', parts: ['f1', `s${index}`]})));
		return answers.every(({status}) => status === 200) || undefined;
	}, {description: 'a response of each entry instance'});
	return started;
}

async function send(address: string, {number, key, parts}: DraftOptions): Promise<ReceivedResponse> {
	return sendForResponse({
		method: 'POST', address, path: `/drafts/${number}`, body: {draft: number}, headers: {
			Host: draftHost, 'Attempt-Id': `a${number}`, 'Deadline-Ms': '8000', Authorization: `Bearer ${key}`, Model: '*', 'Token-Usage': '100,20',
			'Prompt-Prefix': [...parts, `u${number}`].map(id => `${id}:50`).join(','),
		},
	});
}

/** Returns the kind of a request, its key and the parts of its prompt. Related requests have the key and the other part of the fatal ones. */
function describeRequest(number: number, {fatalParts}: Pick<TrafficOptions, 'fatalParts'>): Omit<DraftOptions, 'number'> & {readonly kind: Kind} {
	const subject = `s${number % 20}`;
	if (number % fatalEvery === 0) {
		return {kind: 'fatal', key: 'k1', parts: fatalParts(subject)};
	}

	return number % 2 === 0 ? {kind: 'unrelated', key: 'k2', parts: ['f2', subject]} : {kind: 'related', key: 'k1', parts: ['f1', subject]};
}

/** Sends requests to all entry instances in turn, no two alike, and from some time on fatal ones among them. */
async function playTraffic(t: ExecutionContext, {fatalParts, onFatalStart}: TrafficOptions): Promise<Played> {
	const {deployment, servers} = await start(t);
	const startedAt = performance.now();
	const fatalFrom = startedAt + quietMilliseconds;
	const sent: Array<Promise<Sent>> = [];
	let hasBegun = false;
	for (let number = 0; performance.now() < Math.max(fatalFrom + trafficMilliseconds, judgedFrom(servers) + judgedMilliseconds); number++) {
		const at = performance.now();
		const {kind, key, parts} = describeRequest(number, {fatalParts});
		const {address} = (deployment.entries[Math.floor(number / 2) % entryCount]!);
		if (kind !== 'fatal' || (at >= fatalFrom && onFatalStart === undefined)) {
			sent.push(record({kind, at, answer: send(address, {number, key, parts})}));
		}

		if (at >= fatalFrom && !hasBegun) {
			hasBegun = true;
			void onFatalStart?.(servers);
		}

		await sleep(intervalMilliseconds);
	}

	return {servers, startedAt, sent: await Promise.all(sent)};
}

/** When the part counts as identified; undefined before any exit. */
function identifiedAt({exits}: CrashingServers): number | undefined {
	return exits[identifyingExits - 1] ?? exits.at(-1);
}

/** The time from which on the requests without the fatal part are to be served again. */
function judgedFrom(servers: CrashingServers): number {
	return (identifiedAt(servers) ?? Number.NEGATIVE_INFINITY) + (2 * windowMilliseconds);
}

async function record({kind, at, answer}: {readonly kind: Kind; readonly at: number; readonly answer: Promise<ReceivedResponse>}): Promise<Sent> {
	return {kind, at, answer: await answer};
}

async function sleep(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** Returns the share of the requests of a kind that were served whole at the first attempt. */
function shareServed(sent: readonly Sent[], {kind, from, until}: {readonly kind: Kind; readonly from: number; readonly until: number}): number {
	const relevant = sent.filter(request => request.kind === kind && request.at >= from && request.at < until);
	return relevant.filter(({answer: {status, isComplete}}) => status === 200 && isComplete).length / relevant.length;
}

/** Checks that servers hardly get any request with the fatal part once it is identified, and that the other requests are served. */
function assertContained(t: ExecutionContext, {servers, startedAt, sent}: Played): void {
	const {sends, exits} = servers;
	const late = sends.filter(at => at > identifiedAt(servers)! + windowMilliseconds).length;
	t.log(`${exits.length} servers exited, ${sends.length} requests with the part reached servers, ${late} of them late`);
	t.true(late <= allowedSends, `${late} late sends, ${exits.length} servers exited`);
	for (const kind of ['related', 'unrelated'] as const) {
		const before = shareServed(sent, {kind, from: startedAt, until: startedAt + quietMilliseconds});
		const after = shareServed(sent, {kind, from: judgedFrom(servers), until: Number.POSITIVE_INFINITY});
		t.log(`${kind} requests: ${after.toFixed(3)} served, ${before.toFixed(3)} before`);
		t.true(after >= servedShare * before, `${kind} requests: ${after.toFixed(2)} served, ${before.toFixed(2)} before`);
	}

	const quarantined = sent.filter(({kind, answer: {status}}) => kind !== 'fatal' && status === 400);
	t.is(quarantined.length, 0, 'requests without the fatal part got a final refusal');
}

for (const [position, fatalParts] of [
	['second', () => ['f1', fatalPart]],
	['first', (subject: string) => [fatalPart, subject]],
] as const) {
	test(`prompts whose ${position} part crashes servers are soon sent to none, and requests without it are served`, async t => {
		const played = await playTraffic(t, {fatalParts});
		t.true(played.servers.exits.length > 0);
		assertContained(t, played);
	});
}

test('no request is refused for the parts of its prompt while servers are killed one after another', async t => {
	const kills = 6;
	const played = await playTraffic(t, {
		fatalParts: () => [],
		async onFatalStart(servers) {
			for (let kill = 0; kill < kills; kill++) {
				servers.exitOldest();
				await sleep(700);
			}
		},
	});
	t.is(played.servers.exits.length, kills);
	assertContained(t, played);
});

test('a quarantined part stays so when all processes restart, until an operator lifts the quarantine', async t => {
	const {deployment, servers} = await start(t);
	const fingerprint = `part-${fatalPart}`;
	let number = 0;
	const sendFatal = async (): Promise<number> => {
		number++;
		const {status} = await send(deployment.entries[number % entryCount]!.address, {number, key: 'k1', parts: ['f1', fatalPart]});
		return status;
	};

	/** Returns the number of exits that a control instance lists for the part and has saved. */
	const countSavedExits = async (address: string): Promise<number> => {
		const {text} = await sendForResponse({
			method: 'GET', address, path: '/-/quarantine', headers: {},
		});
		const {requests = []} = JSON.parse(text || '{}') as {readonly requests?: ReadonlyArray<{readonly fingerprint: string; readonly ends: readonly unknown[]; readonly isSaved: boolean}>};
		const listed = requests.find(request => request.fingerprint === fingerprint);
		return listed?.isSaved === true ? listed.ends.length : 0;
	};

	// The first request alone may be the cause of its exits; the part is once others with it end servers too.
	await waitUntil(async () => {
		const {length} = servers.sends;
		return (await sendFatal() === 400 && servers.sends.length === length) || undefined;
	}, {description: 'a quarantined part'});
	await waitUntil(async () => {
		const counts = await Promise.all(deployment.controls.map(async control => countSavedExits(control.address)));
		return counts.every(count => count === servers.exits.length) || undefined;
	}, {description: 'all control instances to have saved the exits'});
	await restartAll(deployment, async entry => {
		const {status} = await send(deployment.entries[entry]!.address, {number: 1000 + entry, key: 'k1', parts: ['f1', `after ${entry}`]});
		return status === 200;
	});
	const sends = servers.sends.length;
	t.is(await sendFatal(), 400);
	t.is(servers.sends.length, sends);

	const {address} = deployment.controls[1]!;
	await waitUntil(async () => await countSavedExits(address) > 0 || undefined, {description: 'a list of the second control instance'});
	t.is(await sendForStatus({method: 'DELETE', address, path: `/-/quarantine/${fingerprint}`}), 200);
	await waitUntil(async () => {
		await sendFatal();
		return servers.sends.length > sends || undefined;
	}, {description: 'a send after the quarantine was lifted'});
});
