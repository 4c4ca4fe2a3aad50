import test from 'ava';
import {createReplica} from './create-replica.js';
import {planMembership} from './plan-membership.js';
import {type ReplicaId, toReplicaId} from './replica-id.js';
import {type FollowerProgress, type ReplicaState} from './replica-state.js';

const one = toReplicaId('one', 'a');
const two = toReplicaId('two', 'a');
const three = toReplicaId('three', 'a');
const four = toReplicaId('four', 'a');
const now = 20_000;

type Given = {
	readonly voters?: readonly ReplicaId[];
	readonly learners?: readonly ReplicaId[];
	readonly silent?: readonly ReplicaId[];
	readonly behind?: readonly ReplicaId[];
};

/** A leader that has committed entry 9, and what it knows of the others. */
function leader({voters = [one, two, three], learners = [], silent = [], behind = []}: Given): ReplicaState {
	const replicas = {voters, learners};
	const base = createReplica({id: one, replicas, seed: 1}, 0);
	const progress = new Map<ReplicaId, FollowerProgress>();
	for (const replica of [...voters, ...learners]) {
		progress.set(replica, {
			matchIndex: behind.includes(replica) ? 3 : 9, nextIndex: 10, inFlight: 0, ackedAt: silent.includes(replica) ? 1000 : now - 50, isActive: true, snapshotSentAt: undefined,
		});
	}

	return {
		...base, replicas, commitIndex: 9, role: {
			type: 'leader', since: 500, electedIn: 0, termStartIndex: 1, progress, rounds: [{round: 7, sentAt: now - 50}], roundCommitIndex: 9,
		},
	};
}

function joining(replica: ReplicaId, changes: {isFounding?: boolean; waiting?: number} = {}) {
	return [{
		replica, isFounding: false, waiting: 0, ...changes,
	}];
}

test('a newcomer learns first', t => {
	t.deepEqual(planMembership(leader({}), {joining: joining(four), now}), {type: 'add-learner', replica: four});
	t.is(planMembership(leader({learners: [four], behind: [four]}), {joining: joining(four, {isFounding: true}), now}), undefined);
});

test('a member of the first start votes as soon as it holds everything; a successor waits for a place', t => {
	t.deepEqual(planMembership(leader({learners: [four]}), {joining: joining(four, {isFounding: true}), now}), {type: 'promote', replica: four});
	t.is(planMembership(leader({learners: [four]}), {joining: joining(four), now}), undefined);
	t.deepEqual(planMembership(leader({learners: [four]}), {joining: joining(four, {waiting: 10_000}), now}), {type: 'promote', replica: four});
});

test('a silent voter gives its place to a successor that is ready, and not before', t => {
	const silent = [three];
	t.is(planMembership(leader({learners: [four], silent, behind: [four]}), {joining: joining(four), now}), undefined);
	t.deepEqual(planMembership(leader({learners: [four], silent}), {joining: joining(four), now}), {type: 'remove', replica: three});
	t.deepEqual(planMembership(leader({voters: [one, two], learners: [four]}), {joining: joining(four), now}), {type: 'promote', replica: four});
});

test('without a successor three voters stay three, and a fourth that fell silent goes', t => {
	t.is(planMembership(leader({silent: [three]}), {joining: [], now}), undefined);
	t.deepEqual(planMembership(leader({voters: [one, two, three, four], silent: [three]}), {joining: [], now}), {type: 'remove', replica: three});
});

test('an instance that lost its disk is replaced by its new identity', t => {
	const renewed = toReplicaId('three', 'b');
	t.deepEqual(planMembership(leader({silent: [three]}), {joining: joining(renewed), now}), {type: 'add-learner', replica: renewed});
	t.deepEqual(planMembership(leader({learners: [renewed], silent: [three]}), {joining: joining(renewed), now}), {type: 'remove', replica: three});
	t.deepEqual(planMembership(leader({voters: [one, two], learners: [renewed]}), {joining: joining(renewed), now}), {type: 'promote', replica: renewed});
});

test('a replica that does not lead plans nothing', t => {
	t.is(planMembership({...leader({}), role: {type: 'follower'}}, {joining: joining(four), now}), undefined);
});
