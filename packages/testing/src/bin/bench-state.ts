#!/usr/bin/env node
/* Prints the size of a claim and of a bill in memory and in a snapshot. Run with `node --expose-gc`. */
import process from 'node:process';
import {
	type Command, type ControlLimits, ControlState, defaultControlLimits, type IdempotencyKey,
} from '@valehitch/control';
import {
	type Bill, type InstanceId, type Micros, type ModelId, type RequestId, type ServerId, toId, type VersionId, type WorkspaceId,
} from '@valehitch/core';

type BenchmarkCase = {
	readonly name: string;
	readonly commands: (index: number) => readonly Command[];
	/** Whether bills are archived immediately, which leaves only the duplicate detection in memory. */
	readonly archives?: boolean;
};

type Sample = {readonly count: number; readonly heapBytes: number; readonly snapshotBytes: number};

const counts = [5000, 10_000, 20_000, 40_000];
const unbounded: ControlLimits = {
	...defaultControlLimits, claimsPerWorkspace: 1_000_000, keptAnswerBytesPerWorkspace: 1_000_000_000, openOrdersPerServer: 1_000_000, recentBills: 0, billWindow: 1_000_000,
};
const workspaces = 10;
const instances = 370;
const bodyBytes = 1000;

const hexadecimal = (index: number, length: number) => index.toString(16).padStart(length, '0');
const requestOf = (index: number) => toId<RequestId>(`00000000-0000-4000-8000-${hexadecimal(index, 12)}`);
const workspaceOf = (index: number) => toId<WorkspaceId>(`workspace-${index % workspaces}`);
const instanceOf = (index: number) => toId<InstanceId>(`entry-${index % instances}`);
const keyOf = (index: number) => toId<IdempotencyKey>(`key-${hexadecimal(index, 32)}`);

const takeClaim = (index: number): Command => ({
	type: 'take-claim', workspace: workspaceOf(index), key: keyOf(index), requestDigest: hexadecimal(index, 64), request: requestOf(index), instance: instanceOf(index), at: index,
});

const settleClaim = (index: number, body: Uint8Array | undefined): Command => ({
	type: 'settle-claim',
	workspace: workspaceOf(index),
	key: keyOf(index),
	request: requestOf(index),
	settlement: {
		type: 'done', answer: {
			status: 200, headers: {'content-type': 'application/json'}, digest: hexadecimal(index, 64), bytes: bodyBytes, ...(body && {body}),
		},
	},
	at: index,
});

function billOf(index: number, hasOrigin: boolean): Bill {
	return {
		workspace: workspaceOf(index),
		request: requestOf(index),
		instance: instanceOf(index),
		lines: [{
			server: toId<ServerId>('engine-1'), model: toId<ModelId>('tag-small'), version: toId<VersionId>('1.0'), usage: {input: 100, output: 20}, cost: 70 as Micros, purpose: 'first',
		}],
		total: 70 as Micros,
		outcome: 'answered',
		settledAt: 1_700_000_000_000 + index,
		...(hasOrigin && {origin: {startedAt: 1_700_000_000_000, sequence: Math.floor(index / instances) + 1}}),
	};
}

const recordBill = (index: number, hasOrigin: boolean): readonly Command[] => [{type: 'record-bills', bills: [structuredClone(billOf(index, hasOrigin))]}];

const cases: readonly BenchmarkCase[] = [
	{name: 'open claim', commands: index => [takeClaim(index)]},
	{name: 'settled claim, digest only', commands: index => [takeClaim(index), settleClaim(index, undefined)]},
	{name: `settled claim, body of ${bodyBytes} bytes`, commands: index => [takeClaim(index), settleClaim(index, new Uint8Array(bodyBytes))]},
	{name: 'bill kept for reading', commands: index => recordBill(index, true)},
	{name: 'bill archived, known by its origin', commands: index => recordBill(index, true), archives: true},
	{name: 'bill archived, known by the window', commands: index => recordBill(index, false), archives: true},
];

function measure(benchmarkCase: BenchmarkCase, count: number): Sample {
	globalThis.gc?.();
	const before = usedBytes();
	const state = fill(benchmarkCase, count);
	globalThis.gc?.();
	const heapBytes = usedBytes() - before;
	// Using the state after the measurement prevents its garbage collection before.
	return {count, heapBytes, snapshotBytes: state.toSnapshot().byteLength};
}

function fill({commands, archives}: BenchmarkCase, count: number): ControlState {
	const state = new ControlState();
	let position = 1;
	state.apply({type: 'set-limits', limits: unbounded}, {term: 1, index: position});
	for (let index = 0; index < count; index++) {
		for (const command of commands(index)) {
			state.apply(command, {term: 1, index: ++position});
		}

		if (archives) {
			state.dropArchived(index + 1);
		}
	}

	return state;
}

function usedBytes(): number {
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}

/** Returns the slope of the least-squares line through the samples. */
function slopeOf(samples: readonly Sample[], of: (sample: Sample) => number): number {
	const meanCount = samples.reduce((sum, {count}) => sum + count, 0) / samples.length;
	const mean = samples.reduce((sum, sample) => sum + of(sample), 0) / samples.length;
	let covariance = 0;
	let variance = 0;
	for (const sample of samples) {
		covariance += (sample.count - meanCount) * (of(sample) - mean);
		variance += (sample.count - meanCount) ** 2;
	}

	return covariance / variance;
}

if (globalThis.gc === undefined) {
	process.stderr.write('warning: memory figures are unreliable without node --expose-gc\n');
}

const results = cases.map(benchmarkCase => {
	measure(benchmarkCase, 1000);
	const samples = counts.map(count => measure(benchmarkCase, count));
	return {
		subject: benchmarkCase.name,
		memoryBytesEach: Math.round(slopeOf(samples, ({heapBytes}) => heapBytes)),
		snapshotBytesEach: Math.round(slopeOf(samples, ({snapshotBytes}) => snapshotBytes) * 10) / 10,
		samples,
	};
});
if (process.argv.includes('--json')) {
	process.stdout.write(`${JSON.stringify(results)}\n`);
} else {
	for (const {subject, memoryBytesEach, snapshotBytesEach, samples} of results) {
		process.stdout.write(`${subject}: ${memoryBytesEach} bytes in memory, ${snapshotBytesEach} in a snapshot\n`);
		for (const {count, heapBytes, snapshotBytes} of samples) {
			process.stdout.write(`  ${count}: ${heapBytes} in memory, ${snapshotBytes} in a snapshot\n`);
		}
	}
}
