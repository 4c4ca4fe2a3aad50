#!/usr/bin/env node
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {
	createReplica, isLeader, type ReplicaEvent, type ReplicaId, type ReplicaState, step, toReplicaId,
} from '@valehitch/consensus';

/** Measures three replicas in one process, without network or disk: steps and committed proposals per second by batch size. */
const proposalsPerRun = 60_000;
const payloadBytes = 200;
const entriesPerSnapshot = 5000;
const batchSizes = [1, 8, 64];
const voters = ['a', 'b', 'c'].map(instance => toReplicaId(instance, '0'));

type Group = {
	readonly states: Map<ReplicaId, ReplicaState>;
	steps: number;
	committed: number;
	snapshotIndex: number;
};

let baselineRate = 0;
for (const batch of batchSizes) {
	const {steps, committed, seconds} = measure(batch);
	const rate = committed / seconds;
	baselineRate ||= rate;
	process.stdout.write(`batch ${batch}: ${Math.round(steps / seconds)} steps/s, ${Math.round(rate)} proposals/s, ${(rate / baselineRate).toFixed(2)} times the rate of batch 1\n`);
}

function measure(batch: number): {readonly steps: number; readonly committed: number; readonly seconds: number} {
	const group: Group = {
		states: new Map(voters.map((id, position) => [id, createReplica({id, replicas: {voters, learners: []}, seed: position}, 0)])),
		steps: 0, committed: 0, snapshotIndex: 0,
	};
	for (let now = 0; !leaderOf(group); now += 100) {
		for (const id of voters) {
			run(group, {id, event: {type: 'tick'}, now});
		}
	}

	const now = 10;
	const leader = leaderOf(group)!;
	const committedBefore = group.committed;
	const stepsBefore = group.steps;
	const startedAt = performance.now();
	while (group.committed - committedBefore < proposalsPerRun) {
		const proposals = Array.from({length: batch}, (_, position) => ({proposalId: `${position}`, data: new Uint8Array(payloadBytes)}));
		run(group, {id: leader, event: {type: 'propose', proposals}, now});
		takeSnapshots(group, leader);
	}

	return {steps: group.steps - stepsBefore, committed: group.committed - committedBefore, seconds: (performance.now() - startedAt) / 1000};
}

function takeSnapshots(group: Group, leader: ReplicaId): void {
	const {commitIndex} = group.states.get(leader)!;
	if (commitIndex < group.snapshotIndex + entriesPerSnapshot) {
		return;
	}

	group.snapshotIndex = commitIndex;
	for (const [id, {commitIndex: lastIndex}] of group.states) {
		run(group, {id, event: {type: 'snapshot-taken', lastIndex, data: new Uint8Array()}, now: 10});
	}
}

function leaderOf({states}: Group): ReplicaId | undefined {
	return voters.find(id => isLeader(states.get(id)!));
}

function run(group: Group, first: {readonly id: ReplicaId; readonly event: ReplicaEvent; readonly now: number}): void {
	const queue = [first];
	for (const {id, event, now} of queue) {
		const {state, actions} = step(group.states.get(id)!, event, now);
		group.states.set(id, state);
		group.steps++;
		group.committed += isLeader(state) ? actions.committed.length : 0;
		for (const {to, message} of actions.messages) {
			queue.push({id: to, event: {type: 'message', from: id, message}, now});
		}
	}
}
