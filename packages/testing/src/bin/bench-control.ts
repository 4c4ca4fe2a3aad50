#!/usr/bin/env node
import {randomUUID} from 'node:crypto';
import {
	mkdtemp, readdir, readFile, rm, stat,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers/promises';
import {type Command, ControlState} from '@valehitch/control';
import {type LogEntry, toReplicaId} from '@valehitch/consensus';
import {
	type InstanceId, type RequestId, toId, type WorkspaceId,
} from '@valehitch/core';
import {openDataFolder} from '@valehitch/storage';
import {PeerNetwork} from '@valehitch/transport';
import {Packr} from 'msgpackr';
import {deploymentKeys} from '../_settings-file.js';
import {type DaemonPlan, type Deployment, startDeployment} from '../deployment.js';

const controlPlans: readonly DaemonPlan[] = ['a', 'b', 'c'].map(name => ({
	instance: `control-${name}`, zone: `prairie-south-${name}`, roles: ['control', 'entry'],
}));
const plans: readonly DaemonPlan[] = [...controlPlans, {instance: 'entry-a', zone: 'prairie-south-a', roles: ['entry']}];
const concurrencyLevels = [1, 8, 64, 256];
const secondsPerConcurrency = 5;
const settleMilliseconds = 5000;
const idleMilliseconds = 20_000;
// Linux reports the processor time of a process in ticks of 1/100 s (USER_HZ).
const millisecondsPerTick = 10;
const logLengths = [1000, 5000, 20_000, 80_000];
const batchLength = 500;
// Below the limit on the idempotency keys stored per workspace.
const claimsPerWorkspace = 4000;
const snapshotsDisabled = {snapshotEntries: 10_000_000, snapshotBytes: 1_073_741_824, segmentBytes: 1_073_741_824};
const packr = new Packr({useRecords: false});

let claimCount = 0;

type Reply = {readonly result: {readonly ok: boolean}; readonly leader?: string};

print('Committing claims on 3 daemons on one machine, through the peer port of the leader');
const deployment = await startDeployment({
	daemons: plans, backends: [], configuration: {models: {}, services: {}, workspaces: {}}, settings: {controlLog: snapshotsDisabled},
});
try {
	await measureIdleUsage(deployment);
	await measureCommits(deployment);
} finally {
	await deployment.stop();
	await rm(deployment.folder, {recursive: true});
}

print('Recovery: open the data folder, verify and read the log, apply it');
for (const length of logLengths) {
	await measureRecovery(length);
}

/** Measures the share of a core that a daemon uses while it only sends and receives heartbeats. */
async function measureIdleUsage(running: Deployment): Promise<void> {
	await setTimeout(settleMilliseconds);
	const before = await Promise.all(running.daemons.map(async daemon => processorTicks(daemon.process.pid)));
	await setTimeout(idleMilliseconds);
	const after = await Promise.all(running.daemons.map(async daemon => processorTicks(daemon.process.pid)));
	console.table(running.daemons.map(({instance}, index) => ({
		instance, percentOfCore: roundToHundredths((((after[index] ?? 0) - (before[index] ?? 0)) * millisecondsPerTick * 100) / idleMilliseconds),
	})));
}

async function processorTicks(pid = 0): Promise<number> {
	const fields = await readFile(`/proc/${pid}/stat`, 'utf8');
	const [user = 0, system = 0] = fields.slice(fields.lastIndexOf(')')).split(' ').slice(12, 14).map(Number);
	return user + system;
}

async function measureCommits(running: Deployment): Promise<void> {
	const network = await PeerNetwork.listen<unknown>({
		self: toId<InstanceId>('bench'), key: deploymentKeys.peers, host: '127.0.0.1', port: 0, onMessage: ignoreMessage, onRequest: async () => undefined, onHandlerError: ignoreMessage,
	});
	const ask = async (instance: string, message: unknown): Promise<unknown> => {
		const daemon = running.daemons.find(candidate => candidate.instance === instance);
		const reply = await network.request({instance: toId<InstanceId>(instance), host: '127.0.0.1', port: daemon?.ports.peers ?? 0}, message);
		return reply.orDefault(undefined);
	};

	const {leader = ''} = await ask(plans[0]?.instance ?? '', {scope: 'control', type: 'leader'}) as {leader?: string};
	const rows = [];
	for (const concurrency of concurrencyLevels) {
		const bytesBefore = await segmentBytes(path.join(running.folder, 'data', leader));
		const started = performance.now();
		const latencies = await proposeFor(secondsPerConcurrency, {concurrency, propose: async () => ask(leader, {scope: 'control', type: 'propose', command: createClaim()})});
		const seconds = (performance.now() - started) / 1000;
		const bytes = await segmentBytes(path.join(running.folder, 'data', leader)) - bytesBefore;
		const sorted = latencies.toSorted((left, right) => left - right);
		rows.push({
			concurrency,
			commitsPerSecond: Math.round(latencies.length / seconds),
			bytesPerCommit: Math.round(bytes / latencies.length),
			medianMilliseconds: roundToHundredths(sorted[Math.floor(sorted.length / 2)]),
			p99Milliseconds: roundToHundredths(sorted[Math.floor(sorted.length * 0.99)]),
		});
	}

	console.table(rows);
	await network.close();
}

async function proposeFor(seconds: number, {concurrency, propose}: {readonly concurrency: number; readonly propose: () => Promise<unknown>}): Promise<readonly number[]> {
	const end = performance.now() + (seconds * 1000);
	const latencies: number[] = [];
	await Promise.all(Array.from({length: concurrency}, async () => {
		while (performance.now() < end) {
			const started = performance.now();
			const reply = await propose() as Reply | undefined;
			if (reply?.result.ok !== true) {
				throw new Error(`the claim was not committed; the reply is ${JSON.stringify(reply)}`);
			}

			latencies.push(performance.now() - started);
		}
	}));
	return latencies;
}

async function measureRecovery(length: number): Promise<void> {
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-bench-'));
	await fillFolder(folder, length);
	const logBytes = await segmentBytes(folder);
	const started = performance.now();
	const opened = await openDataFolder(folder);
	const read = performance.now();
	const data = opened.unsafeCoerce();
	const state = new ControlState();
	for (const {index, term, payload} of data.takeStoredState().entries) {
		if (payload.type === 'command') {
			state.apply(packr.unpack(payload.data) as Command, {index, term});
		}
	}

	const applied = performance.now();
	const snapshot = state.toSnapshot();
	const ended = performance.now();
	print(JSON.stringify({
		entries: length,
		logBytes,
		readMilliseconds: roundToHundredths(read - started),
		applyMilliseconds: roundToHundredths(applied - read),
		snapshotMilliseconds: roundToHundredths(ended - applied),
		snapshotBytes: snapshot.byteLength,
	}));
	await data.close();
	await rm(folder, {recursive: true});
}

async function fillFolder(folder: string, length: number): Promise<void> {
	const opened = await openDataFolder(folder);
	const data = opened.unsafeCoerce();
	const votedFor = toReplicaId('entry-1', data.takeStoredState().identity);
	for (let first = 1; first <= length; first += batchLength) {
		const entries = Array.from({length: Math.min(batchLength, length + 1 - first)}, (_, offset): LogEntry => ({
			index: first + offset, term: 1, payload: {type: 'command', data: packr.pack(createClaim())},
		}));
		const written = await data.persist({
			hardState: {term: 1, votedFor}, entries, snapshot: undefined, discardsLog: false,
		});
		written.unsafeCoerce();
	}

	await data.close();
}

function createClaim(): Command {
	const id = randomUUID();
	claimCount++;
	const workspace = toId<WorkspaceId>(`workspace-${Math.floor(claimCount / claimsPerWorkspace)}`);
	return {
		type: 'take-claim', workspace, key: toId(id), requestDigest: id, request: toId<RequestId>(id), instance: toId<InstanceId>('entry-1'), at: Date.now(),
	};
}

async function segmentBytes(folder: string): Promise<number> {
	const names = await readdir(folder);
	const sizes = await Promise.all(names.filter(name => name.endsWith('.segment')).map(async name => stat(path.join(folder, name))));
	return sizes.reduce((sum, {size}) => sum + size, 0);
}

function roundToHundredths(milliseconds = 0): number {
	return Math.round(milliseconds * 100) / 100;
}

function ignoreMessage(): void {
	// No message is expected.
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}
