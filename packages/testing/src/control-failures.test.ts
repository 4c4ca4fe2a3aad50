import {randomUUID} from 'node:crypto';
import {
	readdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import test, {type ExecutionContext} from 'ava';
import * as z from 'zod';
import {digestOf, deploymentKeys} from './_settings-file.js';
import {
	type Deployment, type DaemonPlan, type RunningDaemon, startDeployment,
} from './deployment.js';
import {callOperator} from './http-client.js';
import {sendRequest} from './send-request.js';
import {waitUntil} from './wait-until.js';

const generousMilliseconds = 60_000;
const plans: readonly DaemonPlan[] = ['a', 'b', 'c'].map(name => ({
	instance: `control-${name}`, zone: `prairie-south-${name}`, roles: ['control', 'entry'],
}));
const committedSchema = z.object({revision: z.number(), committed: z.literal(true)});
const problemSchema = z.object({
	kind: z.string(), outcome: z.string(), details: z.object({currentRevision: z.number().optional()}).optional(),
});
const configurationSchema = z.looseObject({revision: z.number(), document: z.looseObject({workspaces: z.looseObject({yard: z.looseObject({weight: z.number()})})})});
const identitySchema = z.object({identity: z.string()});
const statusSchema = z.looseObject({leader: z.string()});

type Change = {
	readonly changeId?: string;
	readonly replaces: number;
	readonly weight: number;
};

type Answer = {readonly status: number; readonly body: unknown};

function documentWith(weight: number) {
	return {
		models: {'tag-small': {versions: {v1: {state: 'settled', quality: 0.8, prices: {input: 1, output: 1}}}}},
		services: {},
		workspaces: {
			yard: {
				keyDigests: [digestOf('yard-key')], weight, allowed: {'tag-small': ['v1']}, services: [], policy: [],
			},
		},
	};
}

async function startControl(t: ExecutionContext, settings: Readonly<Record<string, unknown>> = {}): Promise<Deployment> {
	t.timeout(4 * generousMilliseconds);
	const deployment = await startDeployment({
		daemons: plans, backends: [], configuration: documentWith(1), startMilliseconds: generousMilliseconds, settings: {faults: true, ...settings},
	});
	t.teardown(async () => {
		for (const {process} of deployment.daemons) {
			process.signal('SIGCONT');
		}

		await deployment.stop();
		await rm(deployment.folder, {recursive: true, force: true});
	});
	return deployment;
}

async function put({operators}: RunningDaemon, {changeId = randomUUID(), replaces, weight}: Change): Promise<Answer> {
	return callOperator(`${operators}/v1/configuration`, {
		key: deploymentKeys.operators,
		headers: {'If-Match': `"${replaces}"`, 'Valehitch-Change-Id': changeId},
		document: documentWith(weight),
	});
}

/** Sends a change again under its id until it has an answer that says what came of it. */
async function putUntilKnown(daemon: RunningDaemon, change: Change): Promise<Answer> {
	const sent = {changeId: randomUUID(), ...change};
	return waitUntil(async () => {
		const answer = await put(daemon, sent);
		return answer.status === 503 ? undefined : answer;
	}, {what: `an answer to change ${sent.changeId}`, timeoutMilliseconds: generousMilliseconds});
}

function revisionOf({body}: Answer): number {
	return committedSchema.parse(body).revision;
}

async function leaderOf(deployment: Deployment, asked?: RunningDaemon): Promise<RunningDaemon> {
	return waitUntil(async () => {
		const by = asked ?? deployment.daemons.find(({process}) => process.isRunning);
		const {body} = await callOperator(`${by?.operators ?? ''}/v1/status`, {key: deploymentKeys.operators});
		const {leader} = statusSchema.parse(body);
		return deployment.daemons.find(({instance}) => instance === leader);
	}, {what: 'a leader', timeoutMilliseconds: generousMilliseconds});
}

async function othersThan(deployment: Deployment, left: RunningDaemon): Promise<readonly [RunningDaemon, RunningDaemon]> {
	const [first, second] = deployment.daemons.filter(daemon => daemon !== left);
	if (first === undefined || second === undefined) {
		throw new RangeError('Got fewer than three daemons');
	}

	return [first, second];
}

async function waitForWeight(daemon: RunningDaemon, wanted: {readonly revision: number; readonly weight: number}): Promise<void> {
	await waitUntil(async () => {
		const {body} = await callOperator(`${daemon.operators}/v1/configuration`, {key: deploymentKeys.operators});
		const {revision, document} = configurationSchema.parse(body);
		return (revision === wanted.revision && document.workspaces.yard.weight === wanted.weight) || undefined;
	}, {what: `revision ${wanted.revision} on ${daemon.instance}`, timeoutMilliseconds: generousMilliseconds});
}

async function identityOf(folder: string): Promise<string> {
	const text = await readFile(path.join(folder, 'identity.json'), 'utf8');
	return identitySchema.parse(JSON.parse(text)).identity;
}

async function cut(daemon: RunningDaemon, instances: readonly string[]): Promise<void> {
	const {status} = await sendRequest(`${daemon.operators}/v1/faults/links`, {
		method: 'POST', headers: {authorization: `Bearer ${deploymentKeys.operators}`}, body: JSON.stringify({cut: instances}),
	});
	if (status !== 200) {
		throw new Error(`Got ${status} for the cut links, wanted 200`);
	}
}

async function waitForEvent(deployment: Deployment, wanted: {readonly event: string; readonly text: string}): Promise<void> {
	await waitUntil(async () => {
		const logs = await Promise.all(deployment.daemons.map(async ({process}) => readFile(process.logFile, 'utf8')));
		const lines = logs.flatMap(log => log.split('\n'));
		return lines.some(line => line.includes(`"event":"${wanted.event}"`) && line.includes(wanted.text)) || undefined;
	}, {what: `an event ${wanted.event} about ${wanted.text}`, timeoutMilliseconds: generousMilliseconds});
}

test.serial('changes go on after the leader was killed, and none is lost', async t => {
	const deployment = await startControl(t);
	const leader = await leaderOf(deployment);
	const [other] = await othersThan(deployment, leader);
	for (let revision = 1; revision <= 10; revision++) {
		if (revision === 4) {
			await leader.process.kill('SIGKILL');
		}

		t.is(revisionOf(await putUntilKnown(other, {replaces: revision, weight: revision + 1})), revision + 1);
	}

	leader.process.start();
	await waitForWeight(leader, {revision: 11, weight: 11});
	t.is(revisionOf(await putUntilKnown(leader, {replaces: 11, weight: 12})), 12);
});

test.serial('a frozen leader that wakes says nothing stale, and what was committed meanwhile stays', async t => {
	const deployment = await startControl(t);
	const leader = await leaderOf(deployment);
	const [other, third] = await othersThan(deployment, leader);
	leader.process.signal('SIGSTOP');
	t.is(revisionOf(await putUntilKnown(other, {replaces: 1, weight: 2})), 2);
	t.is(revisionOf(await putUntilKnown(third, {replaces: 2, weight: 3})), 3);
	leader.process.signal('SIGCONT');

	const stale = await putUntilKnown(leader, {replaces: 1, weight: 9});
	t.is(stale.status, 412);
	t.is(problemSchema.parse(stale.body).details?.currentRevision, 3);
	t.is(revisionOf(await putUntilKnown(leader, {replaces: 3, weight: 4})), 4);
	await Promise.all(deployment.daemons.map(async daemon => waitForWeight(daemon, {revision: 4, weight: 4})));
});

test.serial('a wiped instance comes back as a new replica, and then a second one may be lost', async t => {
	// The log of the others no longer begins at 1, so the new replica needs a snapshot.
	const deployment = await startControl(t, {controlLog: {snapshotEntries: 100}});
	const leader = await leaderOf(deployment);
	const [wiped, second] = await othersThan(deployment, leader);
	for (let revision = 1; revision <= 220; revision++) {
		t.is(revisionOf(await putUntilKnown(leader, {replaces: revision, weight: revision + 1})), revision + 1);
	}

	const folder = path.join(deployment.folder, 'data', wiped.instance);
	const identity = await identityOf(folder);
	await wiped.process.kill('SIGKILL');
	await rm(folder, {recursive: true});
	t.is(revisionOf(await putUntilKnown(leader, {replaces: 221, weight: 222})), 222);

	wiped.process.start();
	await deployment.waitUntilHealthy(wiped);
	const renewed = await identityOf(folder);
	t.not(renewed, identity);
	await waitForEvent(deployment, {event: 'replica-removed', text: identity});
	await waitForEvent(deployment, {event: 'replica-added', text: renewed});

	const names = await readdir(folder);
	t.true(names.some(name => name.endsWith('.snapshot')));

	await second.process.kill('SIGKILL');
	t.is(revisionOf(await putUntilKnown(wiped, {replaces: 222, weight: 223})), 223);
	await leader.process.restart();
	t.is(revisionOf(await putUntilKnown(wiped, {replaces: 223, weight: 224})), 224);
});

test.serial('a leader that is cut off commits nothing, the others go on, and after healing all agree', async t => {
	const deployment = await startControl(t);
	const leader = await leaderOf(deployment);
	const others = await othersThan(deployment, leader);
	await cut(leader, others.map(({instance}) => instance));
	t.is(revisionOf(await putUntilKnown(others[0], {replaces: 1, weight: 2})), 2);

	const refused = await put(leader, {replaces: 1, weight: 8});
	t.is(refused.status, 503);
	t.like(problemSchema.parse(refused.body), {kind: 'no-quorum', outcome: 'notRun'});
	t.is(revisionOf(await putUntilKnown(others[1], {replaces: 2, weight: 3})), 3);

	await cut(leader, []);
	await Promise.all(deployment.daemons.map(async daemon => waitForWeight(daemon, {revision: 3, weight: 3})));
	t.is(revisionOf(await putUntilKnown(leader, {replaces: 3, weight: 4})), 4);
});

test.serial('of operators who race under one revision exactly one wins, and the others learn the revision', async t => {
	const deployment = await startControl(t);
	for (let revision = 1; revision <= 5; revision++) {
		const answers = await Promise.all(deployment.daemons.map(async (daemon, index) =>
			putUntilKnown(daemon, {replaces: revision, weight: (10 * revision) + index})));
		const statuses = answers.map(({status}) => status).toSorted((left, right) => left - right);
		t.deepEqual(statuses, [200, 412, 412]);
		const refusals = answers.filter(({status}) => status === 412).map(({body}) => problemSchema.parse(body));
		t.deepEqual(refusals.map(({kind, details}) => ({kind, currentRevision: details?.currentRevision})), [
			{kind: 'revision-conflict', currentRevision: revision + 1}, {kind: 'revision-conflict', currentRevision: revision + 1},
		]);
	}
});

test.serial('a change that is sent again after the leader was lost gets its first answer', async t => {
	const deployment = await startControl(t);
	const leader = await leaderOf(deployment);
	const [other, third] = await othersThan(deployment, leader);
	const change = {changeId: randomUUID(), replaces: 1, weight: 2};
	t.is(revisionOf(await putUntilKnown(leader, change)), 2);
	t.is(revisionOf(await putUntilKnown(leader, {replaces: 2, weight: 3})), 3);
	await leader.process.kill('SIGKILL');

	t.is(revisionOf(await putUntilKnown(other, change)), 2);
	const reused = await putUntilKnown(third, {...change, weight: 7});
	t.is(reused.status, 409);
	t.is(problemSchema.parse(reused.body).kind, 'change-id-reused');
	await waitForWeight(other, {revision: 3, weight: 3});
});

test.serial('a damaged data folder stops the control role and not the daemon, and the others go on', async t => {
	const deployment = await startControl(t);
	const leader = await leaderOf(deployment);
	const [damaged, other] = await othersThan(deployment, leader);
	await damaged.process.kill('SIGKILL');
	const folder = path.join(deployment.folder, 'data', damaged.instance);
	const names = await readdir(folder);
	const segment = names.find(name => name.endsWith('.segment'));
	const file = path.join(folder, segment ?? '');
	const data = await readFile(file);
	data.writeUInt8(255 - data.readUInt8(20), 20);
	await writeFile(file, data);

	damaged.process.start();
	await deployment.waitUntilHealthy(damaged);
	t.regex(await readFile(damaged.process.logFile, 'utf8'), /damaged record .*at byte 0.*control role does not start/v);
	t.is(revisionOf(await putUntilKnown(damaged, {replaces: 1, weight: 2})), 2);
	await Promise.all([damaged, other].map(async daemon => waitForWeight(daemon, {revision: 2, weight: 2})));
});

test.serial('all changes are there after all instances were killed and started again', async t => {
	const deployment = await startControl(t, {controlLog: {snapshotEntries: 100, segmentBytes: 4096}});
	const leader = await leaderOf(deployment);
	for (let revision = 1; revision < 500; revision++) {
		t.is(revisionOf(await putUntilKnown(leader, {replaces: revision, weight: revision + 1})), revision + 1);
	}

	await Promise.all(deployment.daemons.map(async ({process}) => process.kill('SIGKILL')));
	for (const {process} of deployment.daemons) {
		process.start();
	}

	await Promise.all(deployment.daemons.map(async daemon => waitForWeight(daemon, {revision: 500, weight: 500})));
	t.is(revisionOf(await putUntilKnown(leader, {replaces: 500, weight: 501})), 501);
});
