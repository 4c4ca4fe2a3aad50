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

const waitMilliseconds = 60_000;
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

type ControlResponse = {readonly status: number; readonly body: unknown};

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
	t.timeout(4 * waitMilliseconds);
	const deployment = await startDeployment({
		daemons: plans, backends: [], configuration: documentWith(1), startTimeoutMilliseconds: waitMilliseconds, settings: {faults: true, ...settings},
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

async function put({operators}: RunningDaemon, {changeId = randomUUID(), replaces, weight}: Change): Promise<ControlResponse> {
	return callOperator(`${operators}/v1/configuration`, {
		key: deploymentKeys.operators,
		headers: {'If-Match': `"${replaces}"`, 'Valehitch-Change-Id': changeId},
		document: documentWith(weight),
	});
}

/** Retries a change with the same change id until the response reports its outcome. */
async function putWithRetries(daemon: RunningDaemon, change: Change): Promise<ControlResponse> {
	const sent = {changeId: randomUUID(), ...change};
	return waitUntil(async () => {
		const answer = await put(daemon, sent);
		return answer.status === 503 ? undefined : answer;
	}, {description: `a response to change ${sent.changeId}`, timeoutMilliseconds: waitMilliseconds});
}

function revisionOf({body}: ControlResponse): number {
	return committedSchema.parse(body).revision;
}

async function findLeader(deployment: Deployment, daemonToAsk?: RunningDaemon): Promise<RunningDaemon> {
	return waitUntil(async () => {
		const by = daemonToAsk ?? deployment.daemons.find(({process}) => process.isRunning);
		const {body} = await callOperator(`${by?.operators ?? ''}/v1/status`, {key: deploymentKeys.operators});
		const {leader} = statusSchema.parse(body);
		return deployment.daemons.find(({instance}) => instance === leader);
	}, {description: 'a leader', timeoutMilliseconds: waitMilliseconds});
}

async function otherDaemons(deployment: Deployment, excluded: RunningDaemon): Promise<readonly [RunningDaemon, RunningDaemon]> {
	const [first, second] = deployment.daemons.filter(daemon => daemon !== excluded);
	if (first === undefined || second === undefined) {
		throw new RangeError('The deployment has fewer than three daemons');
	}

	return [first, second];
}

async function waitForWeight(daemon: RunningDaemon, expected: {readonly revision: number; readonly weight: number}): Promise<void> {
	await waitUntil(async () => {
		const {body} = await callOperator(`${daemon.operators}/v1/configuration`, {key: deploymentKeys.operators});
		const {revision, document} = configurationSchema.parse(body);
		return (revision === expected.revision && document.workspaces.yard.weight === expected.weight) || undefined;
	}, {description: `revision ${expected.revision} on ${daemon.instance}`, timeoutMilliseconds: waitMilliseconds});
}

async function identityOf(folder: string): Promise<string> {
	const text = await readFile(path.join(folder, 'identity.json'), 'utf8');
	return identitySchema.parse(JSON.parse(text)).identity;
}

async function cutLinks(daemon: RunningDaemon, instances: readonly string[]): Promise<void> {
	const {status} = await sendRequest(`${daemon.operators}/v1/faults/links`, {
		method: 'POST', headers: {authorization: `Bearer ${deploymentKeys.operators}`}, body: JSON.stringify({cut: instances}),
	});
	if (status !== 200) {
		throw new Error(`Expected status 200 for cutting links, got ${status}`);
	}
}

async function waitForEvent(deployment: Deployment, expected: {readonly event: string; readonly text: string}): Promise<void> {
	await waitUntil(async () => {
		const logs = await Promise.all(deployment.daemons.map(async ({process}) => readFile(process.logFile, 'utf8')));
		const lines = logs.flatMap(log => log.split('\n'));
		return lines.some(line => line.includes(`"event":"${expected.event}"`) && line.includes(expected.text)) || undefined;
	}, {description: `an event ${expected.event} about ${expected.text}`, timeoutMilliseconds: waitMilliseconds});
}

test.serial('changes continue after the leader is killed, and none is lost', async t => {
	const deployment = await startControl(t);
	const leader = await findLeader(deployment);
	const [other] = await otherDaemons(deployment, leader);
	for (let revision = 1; revision <= 10; revision++) {
		if (revision === 4) {
			await leader.process.kill('SIGKILL');
		}

		t.is(revisionOf(await putWithRetries(other, {replaces: revision, weight: revision + 1})), revision + 1);
	}

	leader.process.start();
	await waitForWeight(leader, {revision: 11, weight: 11});
	t.is(revisionOf(await putWithRetries(leader, {replaces: 11, weight: 12})), 12);
});

test.serial('a resumed leader returns nothing stale, and changes committed while it was suspended are kept', async t => {
	const deployment = await startControl(t);
	const leader = await findLeader(deployment);
	const [other, third] = await otherDaemons(deployment, leader);
	leader.process.signal('SIGSTOP');
	t.is(revisionOf(await putWithRetries(other, {replaces: 1, weight: 2})), 2);
	t.is(revisionOf(await putWithRetries(third, {replaces: 2, weight: 3})), 3);
	leader.process.signal('SIGCONT');

	const stale = await putWithRetries(leader, {replaces: 1, weight: 9});
	t.is(stale.status, 412);
	t.is(problemSchema.parse(stale.body).details?.currentRevision, 3);
	t.is(revisionOf(await putWithRetries(leader, {replaces: 3, weight: 4})), 4);
	await Promise.all(deployment.daemons.map(async daemon => waitForWeight(daemon, {revision: 4, weight: 4})));
});

test.serial('an instance with a deleted data folder rejoins as a new replica, after which another one may fail', async t => {
	// Snapshots truncate the logs of the other replicas, so the new replica needs a snapshot.
	const deployment = await startControl(t, {controlLog: {snapshotEntries: 100}});
	const leader = await findLeader(deployment);
	const [wiped, second] = await otherDaemons(deployment, leader);
	for (let revision = 1; revision <= 220; revision++) {
		t.is(revisionOf(await putWithRetries(leader, {replaces: revision, weight: revision + 1})), revision + 1);
	}

	const folder = path.join(deployment.folder, 'data', wiped.instance);
	const identity = await identityOf(folder);
	await wiped.process.kill('SIGKILL');
	await rm(folder, {recursive: true});
	t.is(revisionOf(await putWithRetries(leader, {replaces: 221, weight: 222})), 222);

	wiped.process.start();
	await deployment.waitUntilHealthy(wiped);
	const newIdentity = await identityOf(folder);
	t.not(newIdentity, identity);
	await waitForEvent(deployment, {event: 'replica-removed', text: identity});
	await waitForEvent(deployment, {event: 'replica-added', text: newIdentity});

	const names = await readdir(folder);
	t.true(names.some(name => name.endsWith('.snapshot')));

	await second.process.kill('SIGKILL');
	t.is(revisionOf(await putWithRetries(wiped, {replaces: 222, weight: 223})), 223);
	await leader.process.restart();
	t.is(revisionOf(await putWithRetries(wiped, {replaces: 223, weight: 224})), 224);
});

test.serial('a partitioned leader commits nothing, the others continue, and all agree after the partition heals', async t => {
	const deployment = await startControl(t);
	const leader = await findLeader(deployment);
	const others = await otherDaemons(deployment, leader);
	await cutLinks(leader, others.map(({instance}) => instance));
	t.is(revisionOf(await putWithRetries(others[0], {replaces: 1, weight: 2})), 2);

	const refused = await put(leader, {replaces: 1, weight: 8});
	t.is(refused.status, 503);
	t.like(problemSchema.parse(refused.body), {kind: 'no-quorum', outcome: 'notRun'});
	t.is(revisionOf(await putWithRetries(others[1], {replaces: 2, weight: 3})), 3);

	await cutLinks(leader, []);
	await Promise.all(deployment.daemons.map(async daemon => waitForWeight(daemon, {revision: 3, weight: 3})));
	t.is(revisionOf(await putWithRetries(leader, {replaces: 3, weight: 4})), 4);
});

test.serial('of concurrent changes to one revision exactly one succeeds, and the others get the new revision', async t => {
	const deployment = await startControl(t);
	for (let revision = 1; revision <= 5; revision++) {
		const answers = await Promise.all(deployment.daemons.map(async (daemon, index) =>
			putWithRetries(daemon, {replaces: revision, weight: (10 * revision) + index})));
		const statuses = answers.map(({status}) => status).toSorted((left, right) => left - right);
		t.deepEqual(statuses, [200, 412, 412]);
		const refusals = answers.filter(({status}) => status === 412).map(({body}) => problemSchema.parse(body));
		t.deepEqual(refusals.map(({kind, details}) => ({kind, currentRevision: details?.currentRevision})), [
			{kind: 'revision-conflict', currentRevision: revision + 1}, {kind: 'revision-conflict', currentRevision: revision + 1},
		]);
	}
});

test.serial('a change that is retried after the leader failed gets its original response', async t => {
	const deployment = await startControl(t);
	const leader = await findLeader(deployment);
	const [other, third] = await otherDaemons(deployment, leader);
	const change = {changeId: randomUUID(), replaces: 1, weight: 2};
	t.is(revisionOf(await putWithRetries(leader, change)), 2);
	t.is(revisionOf(await putWithRetries(leader, {replaces: 2, weight: 3})), 3);
	await leader.process.kill('SIGKILL');

	t.is(revisionOf(await putWithRetries(other, change)), 2);
	const reused = await putWithRetries(third, {...change, weight: 7});
	t.is(reused.status, 409);
	t.is(problemSchema.parse(reused.body).kind, 'change-id-reused');
	await waitForWeight(other, {revision: 3, weight: 3});
});

test.serial('a damaged data folder disables the control role but not the daemon, and the others continue', async t => {
	const deployment = await startControl(t);
	const leader = await findLeader(deployment);
	const [damaged, other] = await otherDaemons(deployment, leader);
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
	t.is(revisionOf(await putWithRetries(damaged, {replaces: 1, weight: 2})), 2);
	await Promise.all([damaged, other].map(async daemon => waitForWeight(daemon, {revision: 2, weight: 2})));
});

test.serial('no change is lost when all instances are killed and restarted', async t => {
	const deployment = await startControl(t, {controlLog: {snapshotEntries: 100, segmentBytes: 4096}});
	const leader = await findLeader(deployment);
	for (let revision = 1; revision < 500; revision++) {
		t.is(revisionOf(await putWithRetries(leader, {replaces: revision, weight: revision + 1})), revision + 1);
	}

	await Promise.all(deployment.daemons.map(async ({process}) => process.kill('SIGKILL')));
	for (const {process} of deployment.daemons) {
		process.start();
	}

	await Promise.all(deployment.daemons.map(async daemon => waitForWeight(daemon, {revision: 500, weight: 500})));
	t.is(revisionOf(await putWithRetries(leader, {replaces: 500, weight: 501})), 501);
});
