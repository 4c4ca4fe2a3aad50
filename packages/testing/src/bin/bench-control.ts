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
const concurrencies = [1, 8, 64, 256];
const secondsEach = 5;
const settleMilliseconds = 5000;
const idleMilliseconds = 20_000;
// Linux counts a process's time in hundredths of a second.
const millisecondsPerTick = 10;
const logLengths = [1000, 5000, 20_000, 80_000];
const batchLength = 500;
// Below the bound on the keys that the state keeps for a workspace.
const claimsPerWorkspace = 4000;
const noSnapshots = {snapshotEntries: 10_000_000, snapshotBytes: 1_073_741_824, segmentBytes: 1_073_741_824};
const packr = new Packr({useRecords: false});

let claims = 0;

type Reply = {readonly result: {readonly ok: boolean}; readonly leader?: string};

say('Commits of claims on 3 daemons of one machine, through the leader\'s peers\' port');
const deployment = await startDeployment({
	daemons: plans, backends: [], configuration: {models: {}, services: {}, workspaces: {}}, settings: {controlLog: noSnapshots},
});
try {
	await benchIdle(deployment);
	await benchCommits(deployment);
} finally {
	await deployment.stop();
	await rm(deployment.folder, {recursive: true});
}

say('Recovery: open the folder, check and read the log, apply it');
for (const length of logLengths) {
	await benchRecovery(length);
}

/** The share of a core that a daemon takes while nothing but heartbeats goes on. */
async function benchIdle(running: Deployment): Promise<void> {
	await setTimeout(settleMilliseconds);
	const before = await Promise.all(running.daemons.map(async daemon => processorTicks(daemon.process.pid)));
	await setTimeout(idleMilliseconds);
	const after = await Promise.all(running.daemons.map(async daemon => processorTicks(daemon.process.pid)));
	console.table(running.daemons.map(({instance}, index) => ({
		instance, percentOfCore: round((((after[index] ?? 0) - (before[index] ?? 0)) * millisecondsPerTick * 100) / idleMilliseconds),
	})));
}

async function processorTicks(pid = 0): Promise<number> {
	const fields = await readFile(`/proc/${pid}/stat`, 'utf8');
	const [user = 0, system = 0] = fields.slice(fields.lastIndexOf(')')).split(' ').slice(12, 14).map(Number);
	return user + system;
}

async function benchCommits(running: Deployment): Promise<void> {
	const network = await PeerNetwork.listen<unknown>({
		self: toId<InstanceId>('bench'), key: deploymentKeys.peers, host: '127.0.0.1', port: 0, onMessage: nothing, onRequest: async () => undefined, onFailure: nothing,
	});
	const ask = async (instance: string, message: unknown): Promise<unknown> => {
		const daemon = running.daemons.find(candidate => candidate.instance === instance);
		const reply = await network.request({instance: toId<InstanceId>(instance), host: '127.0.0.1', port: daemon?.ports.peers ?? 0}, message);
		return reply.orDefault(undefined);
	};

	const {leader = ''} = await ask(plans[0]?.instance ?? '', {scope: 'control', type: 'leader'}) as {leader?: string};
	const rows = [];
	for (const concurrency of concurrencies) {
		const bytesBefore = await segmentBytes(path.join(running.folder, 'data', leader));
		const started = performance.now();
		const latencies = await proposeFor(secondsEach, {concurrency, propose: async () => ask(leader, {scope: 'control', type: 'propose', command: claim()})});
		const seconds = (performance.now() - started) / 1000;
		const bytes = await segmentBytes(path.join(running.folder, 'data', leader)) - bytesBefore;
		const sorted = latencies.toSorted((left, right) => left - right);
		rows.push({
			concurrency,
			commitsPerSecond: Math.round(latencies.length / seconds),
			bytesPerCommit: Math.round(bytes / latencies.length),
			medianMilliseconds: round(sorted[Math.floor(sorted.length / 2)]),
			p99Milliseconds: round(sorted[Math.floor(sorted.length * 0.99)]),
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
				throw new Error(`Got ${JSON.stringify(reply)}, wanted a committed claim`);
			}

			latencies.push(performance.now() - started);
		}
	}));
	return latencies;
}

async function benchRecovery(length: number): Promise<void> {
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-bench-'));
	await fillFolder(folder, length);
	const logBytes = await segmentBytes(folder);
	const started = performance.now();
	const opened = await openDataFolder(folder);
	const read = performance.now();
	const data = opened.unsafeCoerce();
	const state = new ControlState();
	for (const {index, term, payload} of data.takeStored().entries) {
		if (payload.type === 'command') {
			state.apply(packr.unpack(payload.data) as Command, {index, term});
		}
	}

	const applied = performance.now();
	const snapshot = state.toSnapshot();
	const ended = performance.now();
	say(JSON.stringify({
		entries: length,
		logBytes,
		readMilliseconds: round(read - started),
		applyMilliseconds: round(applied - read),
		snapshotMilliseconds: round(ended - applied),
		snapshotBytes: snapshot.byteLength,
	}));
	await data.close();
	await rm(folder, {recursive: true});
}

async function fillFolder(folder: string, length: number): Promise<void> {
	const opened = await openDataFolder(folder);
	const data = opened.unsafeCoerce();
	const votedFor = toReplicaId('entry-1', data.takeStored().identity);
	for (let first = 1; first <= length; first += batchLength) {
		const entries = Array.from({length: Math.min(batchLength, length + 1 - first)}, (_, offset): LogEntry => ({
			index: first + offset, term: 1, payload: {type: 'command', data: packr.pack(claim())},
		}));
		const written = await data.persist({
			hardState: {term: 1, votedFor}, entries, snapshot: undefined, discardsLog: false,
		});
		written.unsafeCoerce();
	}

	await data.close();
}

function claim(): Command {
	const id = randomUUID();
	claims++;
	const workspace = toId<WorkspaceId>(`workspace-${Math.floor(claims / claimsPerWorkspace)}`);
	return {
		type: 'take-claim', workspace, key: toId(id), requestDigest: id, request: toId<RequestId>(id), instance: toId<InstanceId>('entry-1'), at: Date.now(),
	};
}

async function segmentBytes(folder: string): Promise<number> {
	const names = await readdir(folder);
	const sizes = await Promise.all(names.filter(name => name.endsWith('.segment')).map(async name => stat(path.join(folder, name))));
	return sizes.reduce((sum, {size}) => sum + size, 0);
}

function round(milliseconds = 0): number {
	return Math.round(milliseconds * 100) / 100;
}

function nothing(): void {
	// No message is expected.
}

function say(line: string): void {
	process.stdout.write(`${line}\n`);
}
