import {randomBytes} from 'node:crypto';
import {
	readdir, readFile, rm, stat,
} from 'node:fs/promises';
import path from 'node:path';
import test, {type ExecutionContext} from 'ava';
import {type Command, type IdempotencyKey} from '@valehitch/control';
import {
	type Bill, type InstanceId, type Micros, type RequestId, toId, type WorkspaceId,
} from '@valehitch/core';
import {PeerNetwork} from '@valehitch/transport';
import * as z from 'zod';
import {deploymentKeys} from './_settings-file.js';
import {
	type DaemonPlan, type Deployment, type RunningDaemon, startDeployment,
} from './deployment.js';
import {callOperator} from './http-client.js';
import {waitUntil} from './wait-until.js';

const waitMilliseconds = 60_000;
const bills = 2500;
const billsPerCommand = 10;
const plans: readonly DaemonPlan[] = ['a', 'b', 'c'].map(name => ({
	instance: `control-${name}`, zone: `prairie-south-${name}`, roles: ['control', 'entry'],
}));
// Together larger than the maximum frame size between daemons, which is 16 MiB.
const largeBodies = 20;
const bodyBytes = 1_000_000;
const identitySchema = z.object({identity: z.string()});
const replySchema = z.object({result: z.looseObject({ok: z.boolean()}), leader: z.string().optional()});
const settledSchema = z.object({result: z.object({value: z.object({claim: z.object({answer: z.object({body: z.instanceof(Uint8Array).optional()})})})})});
const pageSchema = z.object({bills: z.array(z.looseObject({request: z.string()})), next: z.number().optional()});

function billAt(sequence: number): Bill {
	return {
		workspace: toId<WorkspaceId>('yard'),
		request: toId<RequestId>(`request-${sequence}`),
		instance: toId<InstanceId>('entry-z'),
		origin: {startedAt: 1, sequence},
		lines: [],
		total: 1 as Micros,
		outcome: 'answered',
		settledAt: 1000 + sequence,
	};
}

async function startControl(t: ExecutionContext, controlLimits: Readonly<Record<string, number>>): Promise<Deployment> {
	const deployment = await startDeployment({
		daemons: plans,
		backends: [],
		configuration: {models: {}, services: {}, workspaces: {}},
		startTimeoutMilliseconds: waitMilliseconds,
		settings: {controlLimits, controlLog: {snapshotEntries: 100}},
	});
	t.teardown(async () => {
		await deployment.stop();
		await rm(deployment.folder, {recursive: true, force: true});
	});
	return deployment;
}

/** Creates the commands that take a claim and settle it with a large body. */
function claimWithBody(index: number): readonly Command[] {
	const claim = {
		workspace: toId<WorkspaceId>('yard'), key: toId<IdempotencyKey>(`key-${index}`), request: toId<RequestId>(`request-${index}`), at: Date.now(),
	};
	const answer = {
		status: 200, headers: {}, digest: '0'.repeat(64), bytes: bodyBytes, body: randomBytes(bodyBytes),
	};
	return [
		{
			type: 'take-claim', ...claim, requestDigest: '0'.repeat(64), instance: toId<InstanceId>('entry-z'),
		},
		{type: 'settle-claim', ...claim, settlement: {type: 'done', answer}},
	];
}

async function openNetwork(t: ExecutionContext): Promise<PeerNetwork<unknown>> {
	const network = await PeerNetwork.listen<unknown>({
		self: toId<InstanceId>('recorder'), key: deploymentKeys.peers, host: '127.0.0.1', port: 0, onMessage() {
			// No daemon sends messages to this test.
		}, onRequest: async () => undefined, onHandlerError(_from, error) {
			throw error;
		},
	});
	t.teardown(async () => network.close());
	return network;
}

/** Waits until the leader has applied the limits of the settings; before that, large bodies are not kept. */
async function waitForLargeBodies(network: PeerNetwork<unknown>, deployment: Deployment): Promise<void> {
	const daemon = firstDaemon(deployment);
	let index = largeBodies;
	await waitUntil(async () => {
		index++;
		const replies = [];
		for (const command of claimWithBody(index)) {
			const reply = await network.request({instance: toId<InstanceId>(daemon.instance), host: '127.0.0.1', port: daemon.ports.peers}, {scope: 'control', type: 'propose', command});
			replies.push(settledSchema.safeParse(reply.orDefault(undefined)));
		}

		return replies.at(-1)?.data?.result.value.claim.answer.body === undefined ? undefined : true;
	}, {description: 'the limits of the settings', timeoutMilliseconds: waitMilliseconds});
}

async function proposeUntilRecorded(network: PeerNetwork<unknown>, {deployment, command}: {readonly deployment: Deployment; readonly command: Command}): Promise<void> {
	await waitUntil(async () => {
		const daemon = deployment.daemons.find(({process}) => process.isRunning);
		const reply = await network.request({instance: toId<InstanceId>(daemon?.instance ?? ''), host: '127.0.0.1', port: daemon?.ports.peers ?? 0}, {scope: 'control', type: 'propose', command});
		const parsed = replySchema.safeParse(reply.orDefault(undefined));
		return (parsed.success && parsed.data.result.ok) || undefined;
	}, {description: 'bills to be recorded', timeoutMilliseconds: waitMilliseconds});
}

async function identityOf(folder: string): Promise<string> {
	return identitySchema.parse(JSON.parse(await readFile(path.join(folder, 'identity.json'), 'utf8'))).identity;
}

/** Deletes the data folder of an instance and waits until its replacement has joined as a replica. */
async function replaceDisk(deployment: Deployment, daemon: RunningDaemon): Promise<void> {
	const folder = path.join(deployment.folder, 'data', daemon.instance);
	await daemon.process.kill('SIGKILL');
	await rm(folder, {recursive: true});
	daemon.process.start();
	await deployment.waitUntilHealthy(daemon);
	const identity = await identityOf(folder);
	await waitUntil(async () => {
		const logs = await Promise.all(deployment.daemons.map(async ({process}) => readFile(process.logFile, 'utf8')));
		return logs.some(log => log.split('\n').some(line => line.includes('"event":"replica-added"') && line.includes(identity))) || undefined;
	}, {description: `the repair of ${daemon.instance}`, timeoutMilliseconds: waitMilliseconds});
}

function firstDaemon({daemons: [daemon]}: Deployment): RunningDaemon {
	if (daemon === undefined) {
		throw new RangeError('The deployment has no daemons');
	}

	return daemon;
}

async function fetchPage(daemon: RunningDaemon, after: number): Promise<z.infer<typeof pageSchema>> {
	return waitUntil(async () => {
		const {status, body} = await callOperator(`${daemon.operators}/v1/ledger?after=${after}`, {key: deploymentKeys.operators});
		return status === 200 ? pageSchema.parse(body) : undefined;
	}, {description: `the page after ${after}`, timeoutMilliseconds: waitMilliseconds});
}

async function fetchAllRequests(daemon: RunningDaemon): Promise<readonly string[]> {
	const requests: string[] = [];
	for (let after: number | undefined = 0; after !== undefined;) {
		const page: z.infer<typeof pageSchema> = await fetchPage(daemon, after);
		requests.push(...page.bills.map(({request}) => request));
		after = page.next;
	}

	return requests;
}

// Recording may take longer than the time after which runs without new bills expire.
test.serial('the ledger lists every bill once after the disks of all instances were lost one after another', async t => {
	t.timeout(6 * waitMilliseconds);
	const deployment = await startControl(t, {recentBills: 100});
	const network = await openNetwork(t);
	for (let first = 1; first <= bills; first += billsPerCommand) {
		const batch = Array.from({length: billsPerCommand}, (_, index) => billAt(first + index));
		await proposeUntilRecorded(network, {deployment, command: {type: 'record-bills', bills: batch}});
	}

	await Promise.all(deployment.daemons.map(async daemon => waitUntil(
		async () => {
			const names = await readdir(path.join(deployment.folder, 'data', daemon.instance, 'bills'));
			return names.length > 0 || undefined;
		},
		{description: `archived bills on ${daemon.instance}`, timeoutMilliseconds: waitMilliseconds},
	)));
	// No pause: each disk is deleted as soon as the previous replica is reported as added.
	for (const daemon of deployment.daemons) {
		await replaceDisk(deployment, daemon);
	}

	const expected = Array.from({length: bills}, (_, index) => `request-${index + 1}`);
	for (const daemon of deployment.daemons) {
		t.deepEqual(await fetchAllRequests(daemon), expected, `read from ${daemon.instance}`);
	}
});

test.serial('a state larger than the maximum frame is transferred to a new replica', async t => {
	t.timeout(6 * waitMilliseconds);
	const deployment = await startControl(t, {keptAnswerBytes: 1_048_576, keptAnswerBytesPerWorkspace: 67_108_864});
	const network = await openNetwork(t);
	await waitForLargeBodies(network, deployment);
	for (let index = 1; index <= largeBodies; index++) {
		for (const command of claimWithBody(index)) {
			await proposeUntilRecorded(network, {deployment, command});
		}
	}

	// Enough entries for two snapshots, so that the log no longer contains the bodies.
	for (let sequence = 1; sequence <= 250; sequence++) {
		await proposeUntilRecorded(network, {deployment, command: {type: 'record-bills', bills: [billAt(sequence)]}});
	}

	const daemon = firstDaemon(deployment);
	await replaceDisk(deployment, daemon);
	const folder = path.join(deployment.folder, 'data', daemon.instance);
	const names = await readdir(folder);
	const sizes = await Promise.all(names.filter(name => name.endsWith('.snapshot')).map(async name => {
		const {size} = await stat(path.join(folder, name));
		return size;
	}));
	t.true(Math.max(...sizes) > largeBodies * bodyBytes);
});
