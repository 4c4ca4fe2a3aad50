import test, {type ExecutionContext} from 'ava';
import {ask, BackendStandIn, call} from './platform/backend-stand-in.js';
import {PlatformDeployment} from './platform/platform-deployment.js';
import {slowDisk} from './platform/slow-disk.js';
import {waitUntil} from './wait-until.js';

const host = 'desk.example';
const deadlyPath = '/drafts/deadly';
const serverCount = 8;
/** How long a server takes to end after it began the request, and to be back as a new process, in milliseconds. */
const endsAfter = 30;
const backAfter = 400;
/** A request that ended this many servers is known for what it is. */
const provenEnds = 3;
/** The time in which all instances must know it, in milliseconds, and the sends that are still allowed after it. */
const windowMilliseconds = 3000;
const allowedSends = 3;
const saveMilliseconds = 300;
const slowSaveMilliseconds = 500;

/** Servers of one service that end when they begin the deadly request, and are back after a while as new processes. */
class CrashingServers {
	/** When the deadly request reached a server, in milliseconds. */
	readonly sends: number[] = [];
	/** When servers ended under it, in milliseconds. */
	readonly ends: number[] = [];
	readonly #running = new Set<BackendStandIn>();
	#started = 0;
	#isStopped = false;

	/**
	Starts a server.

	@param port The port of the process before it, which it takes over.
	*/
	async start(port?: number): Promise<void> {
		this.#started++;
		const server: BackendStandIn = await BackendStandIn.start({
			id: `i-${this.#started}`,
			service: 'models',
			host: '127.0.0.1',
			startedAt: Date.now(),
			...(port !== undefined && {port}),
			answer: ({path}) => {
				if (path !== deadlyPath) {
					return {confidence: 90, events: ['one', 'two'], gap: 20};
				}

				this.sends.push(performance.now());
				setTimeout(() => {
					void this.#end(server);
				}, endsAfter);
				return {confidence: 90, firstAfter: 10 * endsAfter};
			},
		});
		this.#running.add(server);
	}

	async announce(control: string): Promise<void> {
		await Promise.all([...this.#running].map(async server => server.announce(control)));
	}

	stop(): void {
		this.#isStopped = true;
		for (const server of this.#running) {
			server.close();
		}

		this.#running.clear();
	}

	async #end(server: BackendStandIn): Promise<void> {
		if (!this.#running.delete(server)) {
			return;
		}

		const {port} = server;
		server.close();
		this.ends.push(performance.now());
		await elapsed(backAfter);
		if (!this.#isStopped) {
			await this.start(port);
		}
	}
}

type Started = {
	readonly deployment: PlatformDeployment;
	readonly servers: CrashingServers;
};

async function start(t: ExecutionContext, environment: Readonly<Record<string, string>> = {}): Promise<Started> {
	const deployment = await PlatformDeployment.start({entries: 3, environment: () => environment});
	const servers = new CrashingServers();
	await Promise.all(Array.from({length: serverCount}, async () => servers.start()));
	const beat = setInterval(() => {
		void servers.announce(deployment.controls[0]!.address);
	}, 200);
	t.teardown(async () => {
		clearInterval(beat);
		servers.stop();
		await deployment.stop();
	});
	await waitUntil(async () => {
		const statuses = await Promise.all(deployment.controls.map(async ({address}) => call({
			method: 'PUT', address, path: '/-/config', body: configuration,
		})));
		return statuses.includes(200) || undefined;
	}, {what: 'an acknowledged configuration'});
	await waitUntil(async () => {
		const answers = await Promise.all(deployment.entries.map(async (_, index) => draft(deployment, {entry: index, path: '/drafts/first'})));
		return answers.every(({status}) => status === 200) || undefined;
	}, {what: 'an answer of each entry instance'});
	return {deployment, servers};
}

const configuration = {
	version: 1,
	routes: [{
		name: 'drafts', host, pathPrefix: '/drafts/', kind: 'streaming', timeoutMs: 8000, targetLatencyMs: 2000, targetGapMs: 1000,
		sizes: ['small', 'large'], service: 'models', maxAttempts: 3, sticky: true, resumable: true, public: false,
	}],
	services: [{name: 'models', engine: {models: [{name: 'small', cost: 0.01}, {name: 'large', cost: 0.3}]}}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tenants: [{name: 'mills', apiKeys: ['k1'], priority: 1}],
};

let attempts = 0;

async function draft({entries}: PlatformDeployment, {entry, path}: {readonly entry: number; readonly path: string}) {
	attempts++;
	return ask({
		method: 'POST', address: entries[entry % entries.length]!.address, path, body: {draft: path}, headers: {
			Host: host, 'Attempt-Id': `a${attempts}`, 'Deadline-Ms': '8000', Authorization: 'Bearer k1', Model: '*', 'Token-Usage': '100,20', 'Prompt-Prefix': `1:50,${attempts}:50`,
		},
	});
}

async function listQuarantine(address: string): Promise<string> {
	const {text} = await ask({
		method: 'GET', address, path: '/-/quarantine', headers: {},
	});
	return text;
}

async function elapsed(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** The sends of the deadly request later than the window after it ended the third server. */
function lateSends({sends, ends}: CrashingServers): number {
	const proven = ends[provenEnds - 1] ?? Number.POSITIVE_INFINITY;
	return sends.filter(at => at > proven + windowMilliseconds).length;
}

// Its caller comes again with a new request id, at another instance.
test('a request that ends each server it runs on is soon sent to none, whichever instance its caller comes to', async t => {
	const {deployment, servers} = await start(t);
	const tries: Array<ReturnType<typeof draft>> = [];
	for (let entry = 0; entry < 32; entry++) {
		tries.push(draft(deployment, {entry, path: deadlyPath}));
		await elapsed(250);
	}

	const answers = await Promise.all(tries);
	t.true(servers.ends.length >= provenEnds);
	t.true(lateSends(servers) <= allowedSends, `${lateSends(servers)} late sends, ${servers.ends.length} servers ended, the caller got ${answers.map(({status}) => status).join(' ')}`);

	// The last tries are told at once that they fail, without a promise that they did not run or an invitation to come back.
	for (const {status, retryAfter} of answers.slice(-3)) {
		t.false([200, 408, 421, 429, 503].includes(status));
		t.is(retryAfter, undefined);
	}

	// And the other requests are served again, by all instances: each of twelve, on a machine with other work not at its first try.
	const ends = servers.ends.length;
	await Promise.all(Array.from({length: 12}, async (_, entry) => waitUntil(async () => {
		const {status, isWhole} = await draft(deployment, {entry, path: `/drafts/${entry}`});
		return (status === 200 && isWhole) || undefined;
	}, {what: `an answer to request ${entry}`})));
	t.is(servers.ends.length, ends);
});

test('a request that came in many copies at once is still known after the end of all processes, until an operator lifts it', async t => {
	const {deployment, servers} = await start(t);
	const copies = await sendCopies(deployment);
	t.true(copies.every(({status, isWhole}) => status !== 200 || !isWhole));
	await listedByAll(deployment);
	// The save begins with the listing, and takes two syncs.
	await elapsed(saveMilliseconds);
	await restartAll(deployment);
	const sends = servers.sends.length;
	const refused = await Promise.all(deployment.entries.map(async (_, entry) => draft(deployment, {entry, path: deadlyPath})));
	t.deepEqual(refused.map(({status}) => status), [400, 400, 400]);
	t.is(servers.sends.length, sends);

	const fingerprint = /\((?<fingerprint>[\da-f]{32})\)/v.exec(refused[0]!.text)?.groups?.fingerprint;
	const {address} = (deployment.controls[1]!);
	// Entry instances answer with two control instances; the third may still be starting.
	const listed = await waitUntil(async () => await listQuarantine(address) || undefined, {what: 'a list of the second control instance'});
	t.true(listed.includes(fingerprint!));
	t.is(await call({method: 'DELETE', address, path: '/-/quarantine/other'}), 404);
	t.is(await call({method: 'DELETE', address, path: `/-/quarantine/${fingerprint}`}), 200);
	await waitUntil(async () => {
		await draft(deployment, {entry: 0, path: deadlyPath});
		return servers.sends.length > sends || undefined;
	}, {what: 'a send after the quarantine was lifted'});
});

// The list said so before any disk held the third end.
test('a request that is listed as quarantined is known after the end of all processes, however slow their disks are', async t => {
	const {deployment, servers} = await start(t, slowDisk({file: 'suspects.json', fileMilliseconds: slowSaveMilliseconds}));
	await sendCopies(deployment);
	await listedByAll(deployment);
	await restartAll(deployment);
	const sends = servers.sends.length;
	const refused = await Promise.all(deployment.entries.map(async (_, entry) => draft(deployment, {entry, path: deadlyPath})));
	t.deepEqual(refused.map(({status}) => status), [400, 400, 400]);
	t.is(servers.sends.length, sends);
});

// The operator was told so before the disk of the instance held it.
test('a quarantine that an operator has lifted stays lifted after the end of all processes', async t => {
	const {deployment, servers} = await start(t, slowDisk({file: 'suspects.json', fileMilliseconds: slowSaveMilliseconds}));
	await sendCopies(deployment);
	const [list] = await listedByAll(deployment);
	const fingerprint = /[\da-f]{32}/v.exec(list!)?.[0];
	await elapsed(3 * slowSaveMilliseconds);
	t.is(await call({method: 'DELETE', address: deployment.controls[0]!.address, path: `/-/quarantine/${fingerprint}`}), 200);
	await restartAll(deployment);
	const sends = servers.sends.length;
	t.true(await waitUntil(async () => {
		await draft(deployment, {entry: 0, path: deadlyPath});
		return servers.sends.length > sends || undefined;
	}, {what: 'a send after the quarantine was lifted'}));
});

/** Sends the deadly request in many copies at once, to all entry instances. */
async function sendCopies(deployment: PlatformDeployment) {
	return Promise.all(Array.from({length: 9}, async (_, entry) => draft(deployment, {entry, path: deadlyPath})));
}

/** Waits until all control instances list a request, and gives their lists. */
async function listedByAll(deployment: PlatformDeployment): Promise<readonly string[]> {
	return waitUntil(async () => {
		const lists = await Promise.all(deployment.controls.map(async ({address}) => listQuarantine(address)));
		return lists.every(list => list.includes('process')) ? lists : undefined;
	}, {what: 'a request that all control instances list'});
}

/** Kills all processes at once, starts them again, and waits until each entry instance answers. */
async function restartAll(deployment: PlatformDeployment): Promise<void> {
	await Promise.all(deployment.members.map(async member => member.process.kill('SIGKILL')));
	for (const member of deployment.members) {
		await member.writeSettings({isFounding: false});
		member.process.start();
	}

	await waitUntil(async () => {
		const answers = await Promise.all(deployment.entries.map(async (_, entry) => draft(deployment, {entry, path: `/drafts/after-${entry}`})));
		return answers.every(({status}) => status === 200) || undefined;
	}, {what: 'an answer of each entry instance after the end of all'});
}
