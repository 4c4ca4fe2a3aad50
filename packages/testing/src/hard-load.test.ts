import {readFile} from 'node:fs/promises';
import test, {type ExecutionContext} from 'ava';
import {type ReceivedResponse, sendForResponse} from './platform/fake-backend-server.js';
import {type PlatformInstance, PlatformDeployment, ports} from './platform/platform-deployment.js';
import {PromptServer} from './platform/prompt-server.js';
import {putConfiguration} from './platform/put-configuration.js';
import {sendSteadily} from './platform/send-steadily.js';
import {startBackends} from './platform/start-backends.js';
import {sendRequest} from './send-request.js';
import {waitUntil} from './wait-until.js';

type Kind = {
	readonly name: string;
	readonly key: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** The target time to the first event, in milliseconds. */
	readonly target: number;
	/** The length of a prompt, in tokens. */
	readonly tokens: number;
};

type Caller = {
	readonly id: string;
	readonly entry: PlatformInstance;
	readonly response: ReceivedResponse;
};

type Load = Pick<Parameters<typeof sendSteadily>[0], 'perSecond' | 'duration'>;

const host = 'desk.example';
const entryCount = 10;
/** How many prompt tokens a server of mean speed processes in a millisecond. */
const tokensPerMillisecond = 24;
const queries: Kind = {
	name: 'queries', key: 'k0', priority: 0, target: 1500, tokens: 500,
};
const summaries: Kind = {
	name: 'summaries', key: 'k2', priority: 2, target: 6000, tokens: 12_000,
};
const kinds = [queries, summaries];
const timeoutMilliseconds = 30_000;
/** Enough requests for each entry instance to know the times of both kinds. */
const warmUpMilliseconds = 6000;
/** The share of the requests that must get their first event within their target where the servers are not overloaded. */
const shareInTime = 0.95;
const sampleMilliseconds = 25;

const configuration = {
	version: 1,
	routes: kinds.map(({name, priority, target}) => ({
		name, host, pathPrefix: `/${name}/`, kind: 'streaming', timeoutMs: timeoutMilliseconds, targetLatencyMs: target, targetGapMs: 1000, priority,
		sizes: ['small'], service: 'models', maxAttempts: 3, sticky: false, resumable: true, public: false,
	})),
	services: [{name: 'models', engine: {models: [{name: 'small', cost: 0.01}]}}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tenants: kinds.map(({name, key, priority}) => ({name, apiKeys: [key], priority})),
};

async function call({name, key, tokens}: Kind, {id, entry}: Omit<Caller, 'response'>): Promise<Caller> {
	const response = await sendForResponse({
		method: 'POST', address: entry.address, path: `/${name}/${id}/${tokens}`, headers: {
			Host: host, 'Attempt-Id': id, 'Deadline-Ms': String(timeoutMilliseconds), Authorization: `Bearer ${key}`, Model: '*', 'Token-Usage': `${tokens},3`, 'Prompt-Prefix': `${id}:${tokens}`,
		},
	});
	return {id, entry, response};
}

/** Starts a deployment that has served requests of both kinds at all entry instances. */
async function start(t: ExecutionContext, speeds: readonly number[]) {
	const servers = speeds.map((speed, index) => new PromptServer({id: `i-${index}`, tokensPerMillisecond: speed * tokensPerMillisecond}));
	const deployment = await PlatformDeployment.start({entryCount, hasMetrics: true});
	await startBackends(t, {deployment, servers: servers.map(({behaviour}) => ({...behaviour, service: 'models'}))});
	await putConfiguration(deployment, configuration);
	let requests = 0;
	const sendOne = async (kind: Kind, entry: PlatformInstance): Promise<Caller> => call(kind, {id: `${kind.name}-${++requests}`, entry});
	const send = async (kind: Kind, load: Load): Promise<readonly Caller[]> => sendSteadily({
		...load, send: async index => sendOne(kind, deployment.entries[index % entryCount]!),
	});
	for (const entry of deployment.entries) {
		await waitUntil(async () => {
			const {response} = await sendOne(queries, entry);
			return response.isComplete && response.status === 200 ? true : undefined;
		}, {description: 'a first response'});
	}

	await Promise.all([
		send(queries, {perSecond: 20, duration: warmUpMilliseconds}),
		send(summaries, {perSecond: 4, duration: warmUpMilliseconds}),
	]);
	return {deployment, servers, send};
}

function isServed({response: {status, isComplete, text}}: Caller): boolean {
	return status === 200 && isComplete && text.match(/data: /gv)?.length === 3;
}

function countInTime(callers: readonly Caller[], {target}: Kind): number {
	return callers.filter(caller => isServed(caller) && caller.response.firstByteAfter! <= target).length;
}

/** Returns the requests of the log lines of a kind. */
async function loggedRequests({process: {logFile}}: PlatformInstance, kind: string): Promise<readonly string[]> {
	const log = await readFile(logFile, 'utf8');
	return log.split('\n').filter(line => line.includes(`"${kind}"`)).flatMap(line => /"request":"([^"]+)"/v.exec(line)?.[1] ?? []);
}

test.serial('no request fails and 0.95 get their first event in time at 0.8 of the rate of servers of three speeds, from ten entry instances', async t => {
	const speeds = [0.7, 0.7, 1, 1, 1.7, 1.7];
	const {servers, send} = await start(t, speeds);
	const backlogs = servers.map(() => 0);
	let samples = 0;
	const timer = setInterval(() => {
		samples++;
		for (const [index, {backlog}] of servers.entries()) {
			backlogs[index]! += backlog;
		}
	}, sampleMilliseconds);
	const callers = await send({...queries, tokens: 1600}, {perSecond: 81, duration: 12_000});
	clearInterval(timer);
	const means = backlogs.map(sum => Math.round(sum / samples));
	const served = callers.filter(caller => isServed(caller)).length;
	t.log(`mean backlogs at speeds ${speeds.join(', ')}: ${means.join(', ')} ms; ${served} of ${callers.length} served, ${countInTime(callers, queries)} in time`);
	t.is(served, callers.length);
	t.true(countInTime(callers, queries) >= shareInTime * callers.length, `${countInTime(callers, queries)} of ${callers.length} in time`);
});

test.serial('each request of a burst of patient ones at twice the rate is answered once, and an operator sees why one was held, from ten entry instances', async t => {
	const {deployment, servers, send} = await start(t, [1, 1, 1, 1, 1, 1]);
	const [urgent, patient] = await Promise.all([
		send(queries, {perSecond: 40, duration: 4000}),
		send(summaries, {perSecond: 24, duration: 4000}),
	]);
	const held = await Promise.all(deployment.entries.map(async entry => loggedRequests(entry, 'request-held')));
	t.log(`${countInTime(urgent, queries)} of ${urgent.length} urgent and ${countInTime(patient, summaries)} of ${patient.length} patient requests in time; ${held.flat().length} holds logged`);
	t.log(`late urgent requests, by their order: ${urgent.flatMap((caller, index) => countInTime([caller], queries) === 0 ? [index] : []).join(' ')}`);

	const unserved = [...urgent, ...patient].filter(caller => !isServed(caller));
	t.true(unserved.every(({response: {status}}) => status === 503), 'each request is answered once');
	t.false(unserved.some(({id}) => servers.some(({begun}) => begun.has(id))), 'what ran is not refused');
	const refused = await Promise.all(deployment.entries.map(async entry => loggedRequests(entry, 'request-rejected')));
	t.deepEqual(held.flat().filter(id => refused.flat().includes(id) || unserved.some(caller => caller.id === id)), [], 'what was held is not rejected');

	const index = held.findIndex(ids => ids.length > 0);
	const why = await sendRequest(`http://${deployment.entries[index]!.ip}:${ports.metrics}/decisions/${held[index]!.at(-1)!}`);
	t.regex(why.body, /"kind":"held".*"wait":\d.*"bound":825.*"room":\d.*"kind":"released".*"reason":"(?:room|time)"/v);
});
